package replay_test

import (
	"path/filepath"
	"testing"

	"github.com/cicadanotch/cicadanotch/replay"
)

// BenchmarkReplay replays the quiet-day trace under the daemon's policy.
func BenchmarkReplay(b *testing.B) {
	trace, err := replay.Load(filepath.Join(tracesDir, "quiet-day.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := replay.Run(trace, replay.PolicyDaemon, testSeed); err != nil {
			b.Fatal(err)
		}
	}
}
