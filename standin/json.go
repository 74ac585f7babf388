package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// ReadJSON decodes the request's body; on failure it answers 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxRecord)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
