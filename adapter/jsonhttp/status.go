package jsonhttp

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalidStatus means that an answer's status is none, or that of a protocol that no call asks for.
var ErrInvalidStatus = errors.New("got no status of an answer")

// Statuses of answers (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns ErrInvalidStatus for a status outside 100 to 599, which RFC 9110 has clients treat as a failure of the
// server, and for 101, which answers an upgrade.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidStatus, "status %03d, want one from %d to %d without an upgrade", status, minStatus, maxStatus)
	}
	return nil
}

// NewClient returns a client whose calls fail with ErrInvalidStatus if the status of the answer is none.
func NewClient(t *http.Transport) *http.Client { return &http.Client{Transport: checkedTransport{t}} }

// checkedTransport checks the status of each answer.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // the connection is discarded
		return nil, err
	}
	return resp, nil
}
