// Command weightscase moves the weights of a route from one service to another, and then kills a host: clients take the streams
// up again at the other hosts that began before the change.
package main

import (
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/review/second/platform/bed"
)

const (
	hostCount    = 3
	sendInterval = 50 * time.Millisecond
	// beginTime is how long streams begin before the change of the weights, killDelay the time from the change until a host
	// is killed: more than the 3 s within which the change is in force. Streams begin during afterTime after that.
	beginTime = 8 * time.Second
	killDelay = 3300 * time.Millisecond
	afterTime = 4 * time.Second
)

// The route's weights before and after the change. The first service keeps a part of them, and all its workers.
const (
	mostToFirst  = `{"service":"llm-one","weight":95},{"service":"llm-two","weight":5}`
	mostToSecond = `{"service":"llm-one","weight":5},{"service":"llm-two","weight":95}`
)

// The tenant has no limit.
const configuration = `{"version":%d,"routes":[
 {"name":"chat","hostname":"x.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"target_gap_ms":300,"priority":0,"traffic_split":[%s],"max_attempts":2,"public":false,"session_affinity":true,"resumable":true}],
 "services":[
 {"name":"llm-one","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000.0,"moves":false,"stride":6,"handle_s":5.0}},
 {"name":"llm-two","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000.0,"moves":false,"stride":6,"handle_s":5.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0}]}`

func main() {
	c := bed.New()
	c.AddEngines("llm-one", "v1", "v1", "v1", "v2", "v2", "v2") // a release is under way
	c.AddEngines("llm-two", "v3", "v3", "v3", "v3", "v3", "v3")
	configure := func(version int, weights string) {
		c.Store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, version, weights))
		c.Add("configuration version %d is in the store: %s", version, weights)
	}
	configure(3, mostToFirst)
	for range hostCount {
		c.AddHost("a", "a")
	}
	time.Sleep(5 * time.Second) // all hosts are in touch
	s := &bed.Streams{Case: c, Interval: sendInterval}
	s.Send(beginTime)
	if bed.Trouble() {
		configure(7, mostToSecond)
	} else {
		configure(7, mostToFirst)
	}
	s.Send(killDelay)
	s.Break(false)
	c.Hosts[0].Kill()
	c.Add("%s is killed", c.Hosts[0].Name)
	s.Send(afterTime)
	s.Judge()
}
