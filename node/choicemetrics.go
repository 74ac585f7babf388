package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/port"
)

// choiceMetrics counts what came of endpoint choices.
type choiceMetrics struct {
	prompt  *prometheus.CounterVec
	cached  *prometheus.CounterVec
	crossed *prometheus.CounterVec
}

func newChoiceMetrics(r prometheus.Registerer) *choiceMetrics {
	m := &choiceMetrics{
		prompt: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_prompt_tokens_total", Help: "Prompt tokens of whole answers, as their engines counted them.",
		}, []string{"service"}),
		cached: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_prompt_tokens_cached_total", Help: "Prompt tokens of whole answers that came from prefix caches.",
		}, []string{"service"}),
		crossed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cicadanotch_region_crossings_total", Help: "Attempts sent to an endpoint of another region.",
		}, []string{"service"}),
	}
	r.MustRegister(m.prompt, m.cached, m.crossed)
	return m
}

// count adds the usage of an answer; nil when there is none.
func (m *choiceMetrics) count(service string, usage *port.Usage) {
	if usage == nil {
		return
	}
	m.prompt.WithLabelValues(service).Add(float64(usage.PromptTokens))
	m.cached.WithLabelValues(service).Add(float64(usage.CachedTokens))
}
