package gateway

import (
	"bytes"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// maxIDDigits bounds the id of an event, which is sent to the endpoint that continues the stream, and
// maxVersionDigits a version of the weights.
const (
	maxIDDigits      = 32
	maxVersionDigits = 19
)

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// event is a complete event of a stream, with the blank lines and comments before it.
type event struct {
	bytes []byte
	id    []byte
}

// eventSplitter splits a stream of server-sent events into complete events and checks them. An event ends with a blank
// line; lines end with LF or CRLF. Each event has one id, a decimal number not below that of the event before, and
// no fields but those of the standard and, as its first line, a version of the weights; what follows anything else is
// not read. A comment is returned with the event after it: an endpoint that has stalled may go on to send comments.
type eventSplitter struct {
	// continues is set if the caller has the beginning of the stream, so that a byte order mark is dropped.
	continues bool

	pending []byte
	events  []event
	// returned is the length of the events at the start of pending that add has returned, scanned that of
	// the lines that were looked at.
	returned, scanned int
	lines             int
	// The scanned lines after the returned events: hasFields and hasRetry are set if they have fields, where a time to
	// retry after, which may also stand alone, counts as hasRetry only. idStart and idEnd are where their id is, from
	// the end of the returned events.
	hasFields, hasRetry bool
	idStart, idEnd      int
	lastID              []byte // of the event before
}

// add appends the bytes that were read next and returns the events that are complete by now. They are valid
// until the next call. It returns a port.ErrGarbage if no event follows them; the splitter is then of no further use.
func (s *eventSplitter) add(p []byte) ([]event, error) {
	if s.returned > 0 {
		s.pending = s.pending[:copy(s.pending, s.pending[s.returned:])]
		s.scanned -= s.returned
		s.returned = 0
	}
	searched := len(s.pending) // the unfinished line has no LF before this
	s.pending = append(s.pending, p...)
	s.events = s.events[:0]
	for {
		n := bytes.IndexByte(s.pending[searched:], '\n')
		if n < 0 {
			return s.events, nil
		}
		start, end := s.scanned, searched+n
		s.scanned, searched = end+1, end+1
		line := bytes.TrimSuffix(s.pending[start:end], []byte("\r"))
		if s.lines++; s.lines == 1 && bytes.HasPrefix(line, byteOrderMark) {
			line = line[len(byteOrderMark):]
			if s.continues {
				s.returned = len(byteOrderMark)
			}
		}
		var err error
		if len(line) == 0 {
			err = s.endEvent()
		} else {
			err = s.addLine(line, end)
		}
		if err != nil {
			return s.events, err
		}
	}
}

// endEvent handles a blank line.
func (s *eventSplitter) endEvent() error {
	switch {
	case s.hasFields && s.idEnd == 0:
		return errors.Wrap(port.ErrGarbage, "event of a stream without an id")
	case s.hasFields:
		id := s.pending[s.returned+s.idStart : s.returned+s.idEnd]
		if isLaterID(s.lastID, id) { // an endpoint that has stalled may repeat its last event
			return errors.Wrapf(port.ErrGarbage, "event %s of a stream follows event %s", id, s.lastID)
		}
		s.lastID = append(s.lastID[:0], id...)
		s.events = append(s.events, event{s.pending[s.returned:s.scanned], id})
		s.returned = s.scanned
	}
	s.hasFields, s.hasRetry, s.idStart, s.idEnd = false, false, 0, 0
	return nil
}

// addLine checks a line that is not blank. end is where it ends in pending, before its LF.
func (s *eventSplitter) addLine(line []byte, end int) error {
	if bytes.IndexByte(line, 0) >= 0 || bytes.IndexByte(line, '\r') >= 0 || !utf8.Valid(line) {
		return errors.Wrap(port.ErrGarbage, "line of a stream is no text")
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if found && len(name) == 0 {
		return nil // a comment
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if s.idEnd != 0 {
			return errors.Wrap(port.ErrGarbage, "event of a stream with two ids")
		}
		if !isEventID(value) {
			return errors.Wrap(port.ErrGarbage, "id of an event is no number")
		}
		if s.pending[end-1] == '\r' {
			end--
		}
		s.idStart, s.idEnd = end-len(value)-s.returned, end-s.returned
	case "retry":
		if isDecimal(value) {
			s.hasRetry = true
			return nil
		}
	case "data", "event":
	default:
		if !found || s.hasFields || s.hasRetry || !isVersion(name, value) {
			return errors.Wrap(port.ErrGarbage, "line of a stream is no field of an event")
		}
	}
	s.hasFields = true
	return nil
}

// rest returns what follows the complete events.
func (s *eventSplitter) rest() []byte { return s.pending[s.returned:] }

// insideEvent reports whether the rest begins a further event. Blank lines and comments do not.
func (s *eventSplitter) insideEvent() bool {
	unread := s.pending[s.scanned:]
	return s.hasFields || s.hasRetry || len(bytes.TrimSuffix(unread, []byte("\r"))) > 0
}

// isEventID reports whether a text is the id of an event.
func isEventID(text []byte) bool { return len(text) <= maxIDDigits && isDecimal(text) }

// isDecimal reports whether a text consists of digits.
func isDecimal(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

// isVersion reports whether a field can state the version of the weights, which the first line of an event may: a name in
// lower case and a number.
func isVersion(name, value []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && b != '-' {
			return false
		}
	}
	return len(name) > 0 && len(value) <= maxVersionDigits && isDecimal(value)
}

// isLaterID reports whether the id of an event comes after another one; it comes after none.
func isLaterID(id, last []byte) bool {
	if len(last) == 0 {
		return true
	}
	id, last = bytes.TrimLeft(id, "0"), bytes.TrimLeft(last, "0")
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return bytes.Compare(id, last) > 0
}
