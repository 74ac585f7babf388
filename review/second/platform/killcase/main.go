// Command killcase kills one host of three: clients take its streams up again at the other two. Their workspace uses a small part
// of its limit.
package main

import (
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/review/second/platform/bed"
)

const (
	hostCount    = 3
	sendInterval = 50 * time.Millisecond
	// beginTime is how long streams begin before the kill, downTime how long the machine stays down, afterTime how long streams
	// begin after it is back.
	beginTime = 6 * time.Second
	downTime  = 3500 * time.Millisecond
	afterTime = 6 * time.Second
	// tokensPerSecond is the limit of the workspace, requestTokens what a new stream counts.
	tokensPerSecond = 375568
	requestTokens   = 300 + 720
)

const configuration = `{"version":3,"routes":[
 {"name":"chat","hostname":"x.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"target_gap_ms":300,"priority":0,"service":"llm","max_attempts":2,"public":false,"session_affinity":true,"resumable":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":685000,"kv_token_bytes":327680,"link_mbps":350000.0,"moves":false,"stride":6,"handle_s":5.0}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["secret"],"priority":0,"unit":"token_count","plain_tokens":200,"rate_per_s":%d,"burst":%d}]}`

func main() {
	c := bed.New()
	c.AddEngines("llm", "v1", "v1", "v1", "v2", "v2", "v2") // a release is under way
	c.Store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, tokensPerSecond, tokensPerSecond))
	for range hostCount {
		c.AddHost("a", "a")
	}
	time.Sleep(6 * time.Second) // all hosts are in touch
	c.Say("clients ask for %.0f tokens a second, the workspace may have %d", requestTokens/sendInterval.Seconds(), tokensPerSecond)
	s := &bed.Streams{Case: c, Interval: sendInterval}
	s.Send(beginTime)
	s.Break(!bed.Trouble()) // without the kill the clients lose their connections to that host
	if bed.Trouble() {
		c.Hosts[0].Kill()
		c.Add("%s is killed", c.Hosts[0].Name)
		s.Send(downTime)
		c.Must(c.Hosts[0].Start())
		c.Add("%s starts again", c.Hosts[0].Name)
	} else {
		s.Send(downTime)
	}
	s.Send(afterTime)
	s.Judge()
}
