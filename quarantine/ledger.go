package quarantine

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// ErrMalformed is returned for a record body that does not parse.
var ErrMalformed = errors.New("malformed quarantine record")

// Ledger is the part of the deaths that stands in the log, the newest
// maxDeaths in log order. It depends on the log alone, so that it is equal in
// every process; what it folds goes into the live table too.
type Ledger struct {
	table *Table
	// now is the clock of the live table.
	now func() time.Time

	mu     sync.Mutex
	deaths []Death
}

// NewLedger returns an empty ledger that feeds a table.
func NewLedger(table *Table, now func() time.Time) *Ledger {
	return &Ledger{table: table, now: now}
}

// Fold applies a quarantine record; ErrMalformed.
func (l *Ledger) Fold(_ record.Position, e record.Envelope) error {
	var d Death
	if err := json.Unmarshal(e.Body, &d); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	l.mu.Lock()
	l.deaths = append(l.deaths, d)
	l.deaths = l.deaths[max(len(l.deaths)-maxDeaths, 0):]
	l.mu.Unlock()
	l.table.Add(l.now(), d)
	return nil
}

// Export returns the ledger.
func (l *Ledger) Export() (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw, err := json.Marshal(l.deaths)
	return raw, errors.Wrap(err, "encode deaths")
}

// Import takes over an exported ledger; ErrMalformed.
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
