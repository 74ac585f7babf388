package tunnel

import (
	"io"

	"github.com/pkg/errors"
)

// read reads frames until the link ends and returns why. It returns io.EOF only after
// frameEnd.
func (l *link) read() error {
	for {
		t, length, err := readHeader(l.reader)
		if err == io.EOF {
			return errors.Wrap(io.ErrUnexpectedEOF, "other end of the tunnel closed it without a statement")
		}
		if err != nil {
			return errors.Wrap(err, "read tunnel")
		}
		l.heard.Store(true)
		if err := l.handle(t, length); err != nil {
			return err
		}
	}
}

// handle handles one frame, whose header was read. An error ends the link.
func (l *link) handle(t frameType, length int) error {
	if !l.inOrder(t) {
		return errors.Wrapf(ErrInvalidFrame, "type %d out of order", t)
	}
	if t == frameData {
		return l.handleData(length)
	}
	payload, err := readPayload(l.reader, length)
	if err != nil {
		return errors.Wrap(err, "read tunnel")
	}
	switch t {
	case frameCredit:
		return l.handleCredit(decodeCredit(payload))
	case frameOpened:
		close(l.opened)
	case frameRefused:
		return l.refusal(payload)
	case frameEnd:
		return io.EOF
	case frameBroke:
		return ErrEndpointBroke
	}
	return nil
}

// inOrder reports whether a frame may be received now.
func (l *link) inOrder(t frameType) bool {
	switch t {
	case frameAlive:
		return true
	case frameData, frameCredit:
		return !l.caller || l.isOpened()
	case frameRefused:
		return l.caller
	case frameOpened:
		return l.caller && !l.isOpened()
	case frameEnd, frameBroke:
		return l.caller && l.isOpened()
	}
	return false
}

// isOpened reports whether frameOpened was received.
func (l *link) isOpened() bool {
	select {
	case <-l.opened:
		return true
	default:
		return false
	}
}

// handleData passes the bytes on to the reader as they arrive.
func (l *link) handleData(length int) error {
	l.mu.Lock()
	if length > l.granted {
		defer l.mu.Unlock()
		return errors.Wrapf(ErrInvalidFrame, "%d bytes, %d are granted", length, l.granted)
	}
	l.granted -= length
	l.mu.Unlock()
	for length > 0 {
		if _, err := l.reader.Peek(1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return errors.Wrap(err, "read tunnel")
		}
		l.heard.Store(true)
		n := min(length, l.reader.Buffered())
		b, err := l.reader.Peek(n)
		if err != nil {
			return errors.Wrap(err, "read tunnel")
		}
		l.store(b)
		if _, err := l.reader.Discard(n); err != nil {
			return errors.Wrap(err, "read tunnel")
		}
		length -= n
	}
	return nil
}

// store appends received bytes to those that were not read.
func (l *link) store(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.offset > 0 && (l.offset == len(l.inbound) || len(l.inbound)+len(b) > cap(l.inbound)) {
		l.inbound = l.inbound[:copy(l.inbound, l.inbound[l.offset:])]
		l.offset = 0
	}
	l.inbound = append(l.inbound, b...)
	l.changed.Broadcast()
}

func (l *link) handleCredit(n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= 0 || n > windowBytes-l.credit {
		return errors.Wrapf(ErrInvalidFrame, "credit of %d bytes beside %d, expected at most %d", n, l.credit, windowBytes)
	}
	l.credit += n
	l.passed = true
	l.changed.Broadcast()
	return nil
}

// refusal returns the error of a refusal. One that comes after bytes were passed on proves
// nothing, so it is not ErrRefused.
func (l *link) refusal(payload []byte) error {
	reason, err := checkReason(payload)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.passed {
		return errors.Wrapf(ErrInvalidFrame, "refused (%s) after bytes were passed on", reason)
	}
	return &refusedError{reason}
}
