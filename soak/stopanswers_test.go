package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// slowReader reads at most rate bytes each second; as they come if rate is 0.
type slowReader struct {
	io.Reader
	rate  int
	began time.Time
	read  int
}

// maxSlowReadBytes is what a slowReader reads at once.
const maxSlowReadBytes = 4 << 10

func (r *slowReader) Read(p []byte) (int, error) {
	if r.rate > 0 {
		p = p[:min(len(p), maxSlowReadBytes)]
		time.Sleep(time.Until(r.began.Add(time.Duration(r.read) * time.Second / time.Duration(r.rate))))
	}
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// answerAtStop is how callers send orders to a stopping host and take their answers.
type answerAtStop struct {
	bytes int // of the answer
	rate  int // as in slowReader
	// behind is what the caller sends behind the order, after a time.
	behind string
	after  time.Duration
}

// id returns the id of the n-th order of the row.
func (tc answerAtStop) id(n int) string {
	return fmt.Sprintf("%d-%d-%d", tc.bytes, tc.after.Milliseconds(), n)
}

// send sends an order and takes its answer. It returns an error if that is not whole.
func (tc answerAtStop) send(address, id string, deadline time.Duration) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	order := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: secret\r\nContent-Length: 0\r\n\r\n",
		tc.bytes, id, deadline.Milliseconds())
	if tc.after == 0 {
		order += tc.behind
	}
	if _, err := io.WriteString(conn, order); err != nil {
		return err
	}
	if tc.after > 0 {
		timer := time.AfterFunc(tc.after, func() {
			_, _ = io.WriteString(conn, tc.behind) // the host may have ended the connection
		})
		defer timer.Stop()
	}
	resp, err := http.ReadResponse(bufio.NewReader(&slowReader{Reader: conn, rate: tc.rate, began: time.Now()}), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != int64(tc.bytes)) {
		err = errors.Errorf("status %d with %d bytes, expected 200 with %d", resp.StatusCode, n, tc.bytes)
	}
	return err
}

// TestWholeAnswersInAPlannedStop guards against answers that a stopping host has written and whose rest is lost, because
// their callers read slowly and have sent more than the order. All rows share one stop.
func TestWholeAnswersInAPlannedStop(t *testing.T) {
	const (
		orders     = 12 // of each row
		endpoints  = 4
		sentAfter  = 200 * time.Millisecond // SIGTERM
		deadline   = 7 * time.Second        // before the process ends
		timeout    = 15 * time.Second
		halfHead   = "POST /order/800 HTTP/1.1\r\nHo"
		nextOrder  = "POST /order/800 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: behind\r\nApi-Key: secret\r\nContent-Length: 0\r\n\r\n"
		endTimeout = 10 * time.Second
	)
	rows := map[string]answerAtStop{
		"1 MB at 150 KB/s, half a head after 0.5 s": {1_000_000, 150_000, halfHead, 500 * time.Millisecond},
		"200 KB at 20 KB/s, half a head after 3 s":  {200_000, 20_000, halfHead, 3 * time.Second},
		"300 KB, half a head after 20 ms":           {300_000, 0, halfHead, 20 * time.Millisecond},
		"800 B, an order behind it":                 {800, 0, nextOrder, 0},
		"1 MB at 150 KB/s, nothing behind it":       {1_000_000, 150_000, "", 0},
	}
	f := newFixture(t, 5000)
	f.store.ConfigureTimeout(1, timeout)
	for n := range endpoints {
		e := f.endpoint(fmt.Sprint("i-", n), "v1", 0)
		e.SetBodyBytes(func(p string) int {
			size, _ := strconv.Atoi(path.Base(p)) // 0 for a path without one
			return size
		})
		f.store.Register(e.ID, e.Entry("api", "a", "ready"))
	}
	f.startHosts(2)
	stopping := f.hosts[0]
	f.await("the endpoints are known", func() bool {
		return platformtest.SendRequest(stopping.Front, "first", "/order/1", "secret", false).Status == http.StatusOK
	})
	stopping.signal(syscall.SIGTERM)
	time.Sleep(sentAfter)
	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		short = map[string]error{} // by id
	)
	for _, tc := range rows {
		for n := range orders {
			all.Go(func() {
				id := tc.id(n)
				if err := tc.send(stopping.Front, id, deadline); err != nil {
					mu.Lock()
					defer mu.Unlock()
					short[id] = err
				}
			})
		}
	}
	all.Wait()
	first := stopping.Name + "/1"
	for until := time.Now().Add(endTimeout); stopping.incarnation() == first && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	raw, err := os.ReadFile(filepath.Join(stopping.dir, stopping.Name+".log"))
	is.New(t).NoErr(err)
	for name, tc := range rows {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written, lost := 0, 0
			for n := range orders {
				id := tc.id(n)
				if !strings.Contains(string(raw), fmt.Sprintf(`"event":"request","request":%q,"result":"served"`, id)) {
					continue
				}
				written++
				if short[id] != nil {
					lost++
					t.Logf("%s: %v", id, short[id])
				}
			}
			t.Logf("%d of %d answers were written, the rest of %d was lost", written, orders, lost)
			is.Equal(written, orders)
			is.Equal(lost, 0)
		})
	}
}
