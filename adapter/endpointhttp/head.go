package endpointhttp

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// checkHead returns an error for a head that net/http accepts although it does not tell what the answer is.
//
// A head may hold the status line of another one with another status: the endpoint stopped inside the first head and
// wrote the second, so that the status and the body belong to different answers. A header's name may be followed by a
// space: net/http keeps it under that name, and so misses where the body ends.
func checkHead(resp *http.Response) error {
	if other, ok := innerStatus(resp.Status); ok {
		return errors.Errorf("status line holds another one, of status %s", other)
	}
	for name, values := range resp.Header {
		if strings.Contains(name, " ") {
			return errors.Errorf("header %q has a space in its name", name)
		}
		for _, v := range values {
			if other, ok := innerStatus(v); ok && !strings.HasPrefix(resp.Status, other) {
				return errors.Errorf("header %s of an answer of status %d holds a status line of status %s", name, resp.StatusCode, other)
			}
		}
	}
	return nil
}

// innerStatus returns the status in the last status line that a text holds.
func innerStatus(text string) (status string, ok bool) {
	const version, digits = "HTTP/1.", 3
	at := strings.LastIndex(text, version)
	if at < 0 {
		return "", false
	}
	_, rest, ok := strings.Cut(text[at:], " ")
	if !ok || len(rest) < digits {
		return "", false
	}
	for _, c := range rest[:digits] {
		if c < '0' || c > '9' {
			return "", false
		}
	}
	return rest[:digits], true
}
