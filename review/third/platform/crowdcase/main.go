// Command crowdcase shows that a host holds more than its memory beside two crowds of callers that do not behave.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
	"github.com/cicadanotch/cicadanotch/review/third/platform/bed"
)

const (
	// memoryBytes is limits.memory_mb of the site and of the host's settings.
	memoryBytes = 284 << 20
	// crowdTime is how long the crowds are there, sampleInterval the time between two observations, and brokenSamples the number
	// of them above the limit that break the rule.
	crowdTime      = 15 * time.Second
	sampleInterval = 20 * time.Millisecond
	brokenSamples  = 10
	reconnectDelay = 20 * time.Millisecond
	// Connections of the two crowds, of which each process has crowdPart.
	headConnections = 1800
	bodyConnections = 600
	crowdPart       = 300
)

func main() {
	if len(os.Args) == 4 {
		join(os.Args[2], os.Args[3])
		return
	}
	os.Exit(run(os.Getenv("TROUBLE") != "0", os.Args[1]))
}

func run(trouble bool, folder string) int {
	b, err := bed.New(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.Close()
	b.Store.ConfigureFaulty()
	e := platformtest.NewEndpoint("i-0", nil)
	b.Store.Register(e.ID, e.Entry("api", "a", "ready"))
	if err := b.Start([]bed.Zone{{Name: "a", Region: "r", Hosts: 1}}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	h := b.Hosts[0]
	if trouble {
		for kind, n := range map[string]int{"heads": headConnections, "bodies": bodyConnections} {
			b.Note("%d connections of the crowd %q", n, kind)
			for range n / crowdPart {
				cmd := exec.Command(os.Args[0], "crowd", kind, h.Front)
				if err := cmd.Start(); err != nil {
					fmt.Fprintln(os.Stderr, err)
					return 2
				}
				defer func() {
					_ = cmd.Process.Kill()
					_ = cmd.Wait()
				}()
			}
		}
	}
	ended := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	served, sent := 0, 0
	go func() {
		defer close(ended)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		for ; ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
			sent++
			if platformtest.SendRequestWith(ctx, client, h.Front, fmt.Sprint("ordinary-", sent), "/order/1", "sound", false).Status == http.StatusOK {
				served++
			}
		}
	}()
	over, samples, peak := 0, 0, int64(0)
	for ; ctx.Err() == nil; time.Sleep(sampleInterval) {
		resident, unread := h.AnonymousBytes(), unreadBytes(h.IP)
		if resident == 0 {
			continue
		}
		samples++
		if held := resident + unread; held > memoryBytes {
			over++
			peak = max(peak, held)
			b.Note("OVER: the host holds %d MB: %d anonymous, %d received and not read", held>>20, resident>>20, unread>>20)
		} else if held > peak {
			peak = held
			b.Note("the host holds %d MB: %d anonymous, %d received and not read", held>>20, resident>>20, unread>>20)
		}
	}
	<-ended
	b.Note("result: over the limit of %d MB in %d of %d samples, at most %d MB; %d of %d ordinary requests served", memoryBytes>>20, over, samples, peak>>20, served, sent)
	fmt.Printf("over %d MB in %d of %d samples, at most %d MB; %d of %d ordinary requests served\n", memoryBytes>>20, over, samples, peak>>20, served, sent)
	switch {
	case samples == 0:
		return 2
	case over >= brokenSamples:
		return 1
	}
	return 0
}

// unreadBytes returns what sockets at an address have received and nobody has read, in bytes.
func unreadBytes(ip string) (sum int64) {
	text, _ := os.ReadFile("/proc/net/tcp")
	four := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", four[3], four[2], four[1], four[0])
	const listening = "0A"
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == listening {
			continue
		}
		if _, queued, ok := strings.Cut(f[4], ":"); ok {
			n, _ := strconv.ParseInt(queued, 16, 64)
			sum += n
		}
	}
	return sum
}

// join is a part of a crowd: it sends on its connections, keeps them open, and opens them again when they are closed.
func join(kind, address string) {
	const longestBody, chunkBytes, headBytes = 4 << 20, 64 << 10, 60 << 10
	head := platformtest.Head("c", "/order/1", "faulty")
	var text bytes.Buffer
	switch text.WriteString(head); kind {
	case "heads": // of many short fields, over the limit of 16 KB and without their end
		for n := 0; text.Len() < headBytes; n++ {
			fmt.Fprintf(&text, "%x: \r\n", n)
		}
	case "bodies": // in chunks, without the last one
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for n := chunkBytes; n < longestBody; n += chunkBytes {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
		}
	}
	for range crowdPart {
		go func() {
			for ; ; time.Sleep(reconnectDelay) {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				if _, err := conn.Write(text.Bytes()); err == nil {
					_, _ = io.Copy(io.Discard, conn) // until the host closes it
				}
				_ = conn.Close()
			}
		}()
	}
	time.Sleep(crowdTime + 5*time.Second)
}
