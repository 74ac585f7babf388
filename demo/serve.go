package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

// Serve starts a deployment, prints the addresses of its processes and the calls that
// inject faults, and runs until ctx ends.
func Serve(ctx context.Context, opts Options, out io.Writer) error {
	d, err := Start(ctx, opts.Profile, opts.Logger)
	defer d.Stop()
	if err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.AwaitReady(readyCtx); err != nil {
		return err
	}
	control, err := d.serve(d.storeLocation(), d.controlHandler())
	if err != nil {
		return err
	}
	d.describe(out, control)
	<-ctx.Done()
	return nil
}

func (d *Deployment) describe(out io.Writer, control string) {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "log\t%s\ncloud\t%s\n", d.LogURL, d.CloudURL)
	for _, e := range d.Entries() {
		fmt.Fprintf(tw, "%s\tcallers %s\toperators %s\n", e.Host.ID, e.Host.CallerAddress, e.Host.OperatorAddress)
	}
	_ = tw.Flush() // a failed write cannot be reported
	p := d.Profile
	fmt.Fprintf(out, "\nworkspaces and keys:\n")
	for _, w := range p.Workspaces {
		fmt.Fprintf(out, "  %s: %s\n", w.Name, w.Key())
	}
	entry := d.Entries()[0].Host.CallerAddress
	fmt.Fprintf(out, `
a streamed answer:
  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello"}]}'
an order that runs once:
  curl -s http://%s/services/%s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: trial-1' -d 'one'
faults:
  curl -s -X POST 'http://%s/reclaim?host=HOST&in=5s'      an endpoint or entry host gets its notice and ends
  curl -s -X POST 'http://%s/kill?host=HOST'               an endpoint dies at once
  curl -s -X POST 'http://%s/silence?host=HOST'            open connections to an endpoint go silent
  curl -s -X POST 'http://%s/log?down=5s'                  the log is down for a while
  curl -s -X POST 'http://%s/part?a=REGION&b=REGION&for=5s' two regions are parted
`, entry, p.Workspaces[0].Key(), p.Model, entry, p.PlainService, p.OrderPath, p.Workspaces[0].Key(),
		control, control, control, control, control)
}

// controlHandler serves the calls that inject faults.
func (d *Deployment) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /reclaim", d.onHost(func(id string, r *http.Request) error { return d.reclaim(id, r.FormValue("in")) }))
	mux.HandleFunc("POST /kill", d.onHost(func(id string, _ *http.Request) error {
		d.endHost(id)
		return nil
	}))
	mux.HandleFunc("POST /silence", d.onHost(func(id string, _ *http.Request) error {
		for _, e := range d.Endpoints() {
			if e.Host.ID == id {
				d.Network.StallConnections(e.Host.EndpointAddress)
			}
		}
		return nil
	}))
	mux.HandleFunc("POST /log", func(w http.ResponseWriter, r *http.Request) {
		down, err := time.ParseDuration(r.FormValue("down"))
		if err != nil {
			http.Error(w, "down: "+err.Error(), http.StatusBadRequest)
			return
		}
		d.failLogFor(down)
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST /part", func(w http.ResponseWriter, r *http.Request) {
		duration, err := time.ParseDuration(r.FormValue("for"))
		if err != nil {
			http.Error(w, "for: "+err.Error(), http.StatusBadRequest)
			return
		}
		a, b := r.FormValue("a"), r.FormValue("b")
		d.Network.SetPartitioned(a, b, true)
		time.AfterFunc(duration, func() { d.Network.SetPartitioned(a, b, false) })
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	})
	return mux
}

// onHost returns a handler for a fault call that names a host.
func (d *Deployment) onHost(run func(id string, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.FormValue("host")
		if !d.hasHost(id) {
			http.Error(w, "host: no host "+id, http.StatusNotFound)
			return
		}
		if err := run(id, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		jsonhttp.Write(w, http.StatusOK, struct{}{})
	}
}

func (d *Deployment) hasHost(id string) bool {
	for _, e := range d.Endpoints() {
		if e.Host.ID == id {
			return true
		}
	}
	for _, e := range d.Entries() {
		if e.Host.ID == id {
			return true
		}
	}
	return false
}

func (d *Deployment) reclaim(id, in string) error {
	notice, err := time.ParseDuration(in)
	if err != nil {
		return err
	}
	d.Cloud.AddNotice(id, port.NoticeReclaim, time.Now().Add(notice))
	time.AfterFunc(notice, func() { d.endHost(id) })
	return nil
}

// endHost ends a host of either role and removes it from the cloud's host list.
func (d *Deployment) endHost(id string) {
	d.stopHost(id)
	for _, e := range d.Entries() {
		if e.Host.ID == id {
			_ = e.Node.Stop() // its errors are in the node's log
		}
	}
	d.Cloud.RemoveHost(id)
}

// failLogFor makes the appends and reads of the log fail for a duration.
func (d *Deployment) failLogFor(duration time.Duration) {
	points := []standin.Point{standin.PointAppend, standin.PointRead}
	for _, p := range points {
		d.LogFaults.Add(standin.Fault{Point: p, Action: standin.ActionFail})
	}
	time.AfterFunc(duration, func() {
		for _, p := range points {
			d.LogFaults.Remove(p)
		}
	})
}
