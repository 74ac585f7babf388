package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/port"
)

// choiceMetrics counts prompt tokens, prefix cache hits and attempts in other regions.
type choiceMetrics struct {
	prompt      *prometheus.CounterVec
	cached      *prometheus.CounterVec
	crossRegion *prometheus.CounterVec
}

func newChoiceMetrics(r prometheus.Registerer) *choiceMetrics {
	m := &choiceMetrics{
		prompt: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_prompt_tokens_total", Help: "Prompt tokens of whole answers, as their engines counted them.",
		}, []string{"service"}),
		cached: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_prompt_tokens_cached_total", Help: "Prompt tokens of whole answers that came from prefix caches.",
		}, []string{"service"}),
		crossRegion: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_region_crossings_total", Help: "Attempts sent to an endpoint of another region.",
		}, []string{"service"}),
	}
	r.MustRegister(m.prompt, m.cached, m.crossRegion)
	return m
}

// count adds the usage of an answer; usage may be nil.
func (m *choiceMetrics) count(service string, usage *port.Usage) {
	if usage == nil {
		return
	}
	m.prompt.WithLabelValues(service).Add(float64(usage.PromptTokens))
	m.cached.WithLabelValues(service).Add(float64(usage.CachedTokens))
}
