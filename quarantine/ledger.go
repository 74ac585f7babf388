package quarantine

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body that does not parse.
var ErrMalformed = errors.New("malformed quarantine record")

// Ledger holds the deaths recorded in the log: the newest maxDeaths in log
// order. It is a function of the log alone, so it is equal in every process.
// Every death folded is also added to the live table.
type Ledger struct {
	table *Table
	// now returns the time at which deaths are added to table.
	now func() time.Time

	mu     sync.Mutex
	deaths []Death
}

// NewLedger returns an empty ledger that adds the deaths it folds to table.
func NewLedger(table *Table, now func() time.Time) *Ledger {
	return &Ledger{table: table, now: now}
}

// Fold applies a quarantine record. It returns ErrMalformed for a body that
// does not parse.
func (l *Ledger) Fold(_ record.Position, e record.Envelope) error {
	var d Death
	if err := json.Unmarshal(e.Body, &d); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	l.mu.Lock()
	known := slices.IndexFunc(l.deaths, func(other Death) bool { return other.key() == d.key() })
	if known >= 0 {
		l.deaths[known].Merge(d)
	} else {
		l.deaths = append(l.deaths, d.clone())
		l.deaths = l.deaths[max(len(l.deaths)-maxDeaths, 0):]
	}
	l.mu.Unlock()
	l.table.Add(l.now(), d)
	return nil
}

// Export returns the ledger's deaths as JSON, for a checkpoint.
func (l *Ledger) Export() (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw, err := json.Marshal(l.deaths)
	return raw, errors.Wrap(err, "encode deaths")
}

// Import replaces the ledger by an exported one and adds its deaths to the
// table. It returns ErrMalformed for data that does not parse.
func (l *Ledger) Import(raw json.RawMessage) error {
	var deaths []Death
	if err := json.Unmarshal(raw, &deaths); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	l.mu.Lock()
	l.deaths = deaths
	l.mu.Unlock()
	for _, d := range deaths {
		l.table.Add(l.now(), d)
	}
	return nil
}
