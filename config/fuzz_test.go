package config_test

import (
	"encoding/json"
	"testing"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
)

// FuzzParseDocument checks that any text yields a document or ErrInvalid, and
// that an accepted document is accepted again after encoding.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"schema":1,"service":"a","kind":"model","models":[{"name":"m","version":"1"}],"placement":{"availability_zones":["z"],"machine_classes":["c"],"min_hosts":0,"max_hosts":1,"on_demand_share":0},"priority":1,"latency":{"first_token":"1s","between_tokens":"1ms","request_timeout":"1s"},"spend":{"hosts_per_hour":0,"link_bytes_per_hour":0},"endpoints":{},"workspaces":[{"name":"w","weight":1}]}`))
	f.Add([]byte(`{ // comment
	"schema": 2, }`))
	f.Add([]byte(`{"latency":{"first_token":"-1s"}}`))
	f.Add([]byte(`[{}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := config.ParseDocument(text)
		if err != nil {
			if !errors.Is(err, config.ErrInvalid) {
				t.Fatalf("error is not ErrInvalid: %v", err)
			}
			return
		}
		raw, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.ParseDocument(raw); err != nil {
			t.Fatalf("accepted document is rejected after encoding: %v\n%s", err, raw)
		}
	})
}
