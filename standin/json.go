package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// ReadJSON decodes the body of a request. On failure it replies with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
