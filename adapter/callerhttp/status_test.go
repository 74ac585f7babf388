package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/port"
)

// TestRecordedStatusThatIsNone guards against a panic on an answer without a status that a host of an older build has recorded for
// an idempotency key (incident 0022).
func TestRecordedStatusThatIsNone(t *testing.T) {
	for status, want := range map[int]int{0: http.StatusBadGateway, 99: http.StatusBadGateway, 101: http.StatusBadGateway, 103: http.StatusBadGateway, 600: http.StatusBadGateway, 200: 200, 599: 599} {
		w := httptest.NewRecorder()
		writeEnd(w, nil, "", &answer.End{Response: &port.ServiceResponse{Status: status, Body: []byte("hello")}})
		is.New(t).Equal(w.Code, want)
	}
}
