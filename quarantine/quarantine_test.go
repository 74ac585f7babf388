package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/record"
)

var start = time.Unix(1_800_000_000, 0)

// killer is the request whose verdict the rows state.
const killer = 1

func death(endpoint, zone string, after time.Duration, running ...uint64) quarantine.Death {
	return quarantine.Death{Endpoint: endpoint, Incarnation: "x", Zone: zone, At: start.Add(after), Running: running}
}

func announced(d quarantine.Death) quarantine.Death {
	d.Announced = true
	return d
}

// beside returns the killer and n-1 neighbours with fingerprints from first.
func beside(n int, first uint64) []uint64 {
	out := []uint64{killer}
	for i := range uint64(n - 1) {
		out = append(out, first+i)
	}
	return out
}

func TestJudge(t *testing.T) {
	const minute = time.Minute
	for name, tc := range map[string]struct {
		deaths []quarantine.Death
		whole  time.Duration // when the request ended whole; zero for never
		at     time.Duration
		want   quarantine.Verdict
	}{
		"nothing":                    {want: quarantine.VerdictClear},
		"alone once":                 {deaths: []quarantine.Death{death("a", "z1", 0, killer)}, want: quarantine.VerdictIsolate},
		"in a crowd once":            {deaths: []quarantine.Death{death("a", "z1", 0, beside(16, 100)...)}, want: quarantine.VerdictSeparate},
		"alone on two endpoints":     {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer)}, want: quarantine.VerdictQuarantine},
		"in a crowd, then alone":     {deaths: []quarantine.Death{death("a", "z1", 0, beside(16, 100)...), death("b", "z1", minute, killer)}, want: quarantine.VerdictQuarantine},
		"twice in other crowds":      {deaths: []quarantine.Death{death("a", "z1", 0, beside(16, 100)...), death("b", "z1", minute, beside(16, 200)...)}, want: quarantine.VerdictQuarantine},
		"twice in very large crowds": {deaths: []quarantine.Death{death("a", "z1", 0, beside(64, 100)...), death("b", "z1", minute, beside(64, 200)...)}, want: quarantine.VerdictIsolate},
		"beside an announced death":  {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer), announced(death("c", "z1", time.Second, 9))}, want: quarantine.VerdictQuarantine},
		"twice in the same company":  {deaths: []quarantine.Death{death("a", "z1", 0, killer, 7), death("b", "z1", minute, killer, 7)}, want: quarantine.VerdictIsolate},
		"twice with one of the same crowd": {deaths: []quarantine.Death{
			death("a", "z1", 0, beside(9, 100)...), death("b", "z1", minute, append(beside(9, 200), 100)...),
		}, want: quarantine.VerdictIsolate},
		"three times, nobody else at all": {deaths: []quarantine.Death{
			death("a", "z1", 0, killer, 7, 8), death("b", "z1", minute, killer, 7, 9), death("c", "z1", 2*minute, killer, 8, 9),
		}, want: quarantine.VerdictQuarantine},
		"neighbour that went along once": {deaths: []quarantine.Death{
			death("a", "z1", 0, killer, 7, 8), death("b", "z1", minute, killer, 7, 9), death("c", "z1", 2*minute, 7),
		}, want: quarantine.VerdictIsolate},
		"twice on one endpoint":          {deaths: []quarantine.Death{death("a", "z1", 0, killer), {Endpoint: "a", Incarnation: "y", Zone: "z1", At: start.Add(minute), Running: []uint64{killer}}}, want: quarantine.VerdictIsolate},
		"the same death told twice":      {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("a", "z1", time.Second, killer)}, want: quarantine.VerdictIsolate},
		"announced":                      {deaths: []quarantine.Death{announced(death("a", "z1", 0, killer)), announced(death("b", "z1", minute, killer))}, want: quarantine.VerdictClear},
		"announced, known later":         {deaths: []quarantine.Death{death("a", "z1", 0, killer), announced(death("a", "z1", 0, killer))}, want: quarantine.VerdictClear},
		"zone loss":                      {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer), death("c", "z1", time.Second, 9)}, want: quarantine.VerdictClear},
		"death elsewhere at that time":   {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer), death("c", "z2", time.Second, 9)}, want: quarantine.VerdictQuarantine},
		"a neighbour, not the killer":    {deaths: []quarantine.Death{death("a", "z1", 0, killer, 9), death("b", "z1", minute, 9)}, want: quarantine.VerdictIsolate},
		"ended whole since":              {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer)}, whole: minute, want: quarantine.VerdictClear},
		"ended whole before":             {deaths: []quarantine.Death{death("a", "z1", minute, killer), death("b", "z1", 2*minute, killer)}, whole: time.Second, want: quarantine.VerdictQuarantine},
		"expired":                        {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer)}, at: time.Hour, want: quarantine.VerdictClear},
		"seen by two hosts, in parts":    {deaths: []quarantine.Death{death("a", "z1", 0, killer), death("a", "z1", 0, beside(16, 100)...)}, want: quarantine.VerdictSeparate},
		"two others in a row keep clear": {deaths: []quarantine.Death{death("a", "z1", 0, 8), death("b", "z1", minute, 8)}, want: quarantine.VerdictClear},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 4 { // the order in which the deaths are told does not matter
				table := quarantine.NewTable()
				at := start.Add(max(tc.at, 3*minute))
				rng.Shuffle(len(tc.deaths), func(i, j int) { tc.deaths[i], tc.deaths[j] = tc.deaths[j], tc.deaths[i] })
				for _, d := range tc.deaths {
					table.Add(start.Add(3*minute), d)
				}
				if tc.whole > 0 {
					table.Whole(start.Add(tc.whole), killer)
				}
				is.Equal(table.Judge(at, killer).Verdict, tc.want)
			}
		})
	}
}

func TestCompany(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	is.True(table.Add(start, death("a", "z1", 0, killer, 5, 9)))
	is.True(!table.Add(start, death("a", "z1", 0, killer, 9))) // nothing new to pass on
	is.Equal(table.Judge(start, killer).Company, []uint64{5, 9})
	is.Equal(len(table.State(start)), 3)
	is.Equal(len(table.Deaths(start.Add(time.Hour))), 0)
	is.Equal(len(table.State(start.Add(time.Hour))), 0)
}

func TestLedger(t *testing.T) {
	is := is.New(t)
	now := func() time.Time { return start.Add(time.Minute) }
	first, second := quarantine.NewTable(), quarantine.NewTable()
	ledger := quarantine.NewLedger(first, now)
	for _, d := range []quarantine.Death{death("a", "z1", 0, killer), death("b", "z1", time.Second, killer)} {
		e, err := record.New(record.KindQuarantine, "host", d)
		is.NoErr(err)
		is.NoErr(ledger.Fold(record.Position{}, e))
	}
	raw, err := ledger.Export()
	is.NoErr(err)
	is.NoErr(quarantine.NewLedger(second, now).Import(raw))
	for _, table := range []*quarantine.Table{first, second} {
		is.Equal(table.Judge(now(), killer).Verdict, quarantine.VerdictQuarantine)
	}
	is.True(ledger.Fold(record.Position{}, record.Envelope{Body: []byte("{")}) != nil)
}

func TestPlace(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	table.Add(start, death("a", "z1", 0, 1, 2, 3, 4))
	idle := []string{"b", "c", "d"}
	used := map[string]bool{}
	for f := uint64(1); f <= 3; f++ {
		endpoint, ok := table.Judge(start, f).Place(f, idle)
		is.True(ok)
		is.True(!used[endpoint]) // each at an endpoint of its own
		used[endpoint] = true
	}
	_, ok := table.Judge(start, 4).Place(4, idle)
	is.True(!ok) // no endpoint is left for it
	_, ok = table.Judge(start, 1).Place(1, nil)
	is.True(!ok)
	table.Add(start, death("b", "z2", time.Second, 5, 6))
	endpoint, ok := table.Judge(start, 6).Place(6, idle[:1])
	is.True(ok) // a score of a half: isolated
	is.Equal(endpoint, "b")
}

// Two entry hosts that differ in one endpoint keep the suspects apart.
func TestApart(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	table.Add(start, death("a", "z1", 0, beside(8, 100)...))
	lists := [][]string{{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}, {"b", "c", "d", "e", "f", "g", "h", "i", "j"}}
	for _, list := range lists {
		used := map[string]bool{}
		for _, f := range beside(8, 100) {
			endpoint, ok := table.Judge(start, f).Apart(f, list)
			is.True(ok)
			is.True(!used[endpoint]) // each at an endpoint of its own
			used[endpoint] = true
		}
	}
	_, ok := table.Judge(start, 106).Apart(106, lists[0][:3])
	is.True(!ok) // fewer endpoints than suspects
}
