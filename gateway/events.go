package gateway

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events. An event ends with a blank line;
// lines end with LF or CRLF. A comment is returned with the event after it: an endpoint that has stalled may go on to
// send comments.
type eventSplitter struct {
	pending []byte
	// returned is the length of the events at the start of pending that add has returned, scanned that of
	// the lines that were looked at.
	returned, scanned int
	// begun is set if the scanned lines after the returned events begin a further one.
	begun bool
}

// add appends the bytes that were read next and returns the events that are complete by now. They are valid
// until the next call.
func (s *eventSplitter) add(p []byte) []byte {
	kept := copy(s.pending, s.pending[s.returned:])
	s.pending = append(s.pending[:kept], p...)
	s.scanned -= s.returned
	s.returned = 0
	for {
		n := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if n < 0 {
			return s.pending[:s.returned]
		}
		line := s.pending[s.scanned : s.scanned+n]
		s.scanned += n + 1
		switch {
		case isBlankLine(line) && s.begun:
			s.returned, s.begun = s.scanned, false
		case !isBlankLine(line) && !isComment(line):
			s.begun = true
		}
	}
}

// rest returns what follows the complete events.
func (s *eventSplitter) rest() []byte { return s.pending[s.returned:] }

// isBlankLine reports whether a line without its LF is blank.
func isBlankLine(line []byte) bool {
	return len(line) == 0 || (len(line) == 1 && line[0] == '\r')
}

// isComment reports whether a line is a comment.
func isComment(line []byte) bool { return bytes.HasPrefix(line, []byte(":")) }

// endsInsideEvent reports whether the bytes after the last complete event of a stream begin a further one.
// Blank lines and comments do not.
func endsInsideEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, after, terminated := bytes.Cut(rest, []byte("\n"))
		comment := terminated && isComment(line)
		if !isBlankLine(line) && !comment {
			return true
		}
		rest = after
	}
	return false
}

// firstEventLen returns the length of the first event in b, with the blank lines before it; the length of b
// if that event is not complete.
func firstEventLen(b []byte) int {
	begun := false
	for read := 0; ; {
		n := bytes.IndexByte(b[read:], '\n')
		if n < 0 {
			return len(b)
		}
		line := b[read : read+n]
		read += n + 1
		if isBlankLine(line) && begun {
			return read
		}
		begun = begun || !isBlankLine(line) && !isComment(line)
	}
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// isLaterID reports whether an event id comes after another one. Ids that are not numbers count as
// later when they differ.
func isLaterID(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
