package problem_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/problem"
)

func TestRefuse(t *testing.T) {
	for name, tc := range map[string]struct {
		sent     int
		declined int
		want     problem.Run
	}{
		"nothing sent":            {0, 0, problem.RunNot},
		"sent":                    {1, 0, problem.RunUnknown},
		"declined":                {1, 1, problem.RunNot},
		"one of two declined":     {2, 1, problem.RunUnknown},
		"all attempts declined":   {3, 3, problem.RunNot},
		"declined, then one sent": {2, 1, problem.RunUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g problem.Guard
			for i := range tc.sent {
				s := g.RecordSend()
				if i < tc.declined {
					s.RecordDeclined()
					s.RecordDeclined() // counts once
				}
			}
			is.Equal(problem.Refuse(&g, 503, problem.TypeUnavailable, "").Run, tc.want)
		})
	}
}

func TestNotRunNeedsProof(t *testing.T) {
	is := is.New(t)
	is.Equal(problem.NotRun(nil, 503, problem.TypeUnavailable, "").Run, problem.RunUnknown)
}
