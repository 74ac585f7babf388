package standin

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// maxBodyBytes bounds a log record and the body of a request to any stand-in.
const maxBodyBytes = 8 << 20

// LogHandler serves a log over HTTP in the protocol of package loghttp.
func LogHandler(l port.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /records", func(w http.ResponseWriter, r *http.Request) { serveAppend(l, w, r) })
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, r *http.Request) { serveRead(l, w, r) })
	return mux
}

func serveAppend(l port.Log, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := l.Append(r.Context(), data)
	if err != nil {
		logError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, loghttp.AppendReply{Offset: offset})
}

func serveRead(l port.Log, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	waitMS, err3 := strconv.Atoi(q.Get("wait_ms"))
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), from, limit, time.Duration(waitMS)*time.Millisecond)
	switch {
	case errors.Is(err, port.ErrLogExpired):
		jsonhttp.Write(w, http.StatusGone, page)
	case err != nil:
		logError(w, err)
	default:
		jsonhttp.Write(w, http.StatusOK, page)
	}
}

func logError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, port.ErrLogRateLimited) {
		status = http.StatusTooManyRequests
	}
	http.Error(w, err.Error(), status)
}
