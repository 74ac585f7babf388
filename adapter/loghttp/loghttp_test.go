package loghttp_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/loghttp"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/port/porttest"
	"github.com/cicadanotch/cicadanotch/standin"
)

const retention = 20

// rig returns a test rig over the stand-in's log, wrapped by wrap.
func rig(wrap func(port.Log) port.Log) porttest.LogRig {
	faults := standin.NewFaults()
	log := standin.NewLog(standin.LogOptions{MaxRecords: retention, Faults: faults})
	injected := map[porttest.LogFault]standin.Fault{
		porttest.LogOutageBefore: {Point: standin.PointAppend, Action: standin.ActionFail},
		porttest.LogReplyLost:    {Point: standin.PointAppend, Action: standin.ActionLoseReply},
		porttest.LogDuplicate:    {Point: standin.PointAppend, Action: standin.ActionRepeat},
		porttest.LogRateLimited:  {Point: standin.PointAppend, Action: standin.ActionRefuse},
		porttest.LogSlow:         {Point: standin.PointAppend, Action: standin.ActionDelay, Delay: 50 * time.Millisecond},
		porttest.LogReadOutage:   {Point: standin.PointRead, Action: standin.ActionFail},
	}
	return porttest.LogRig{
		Log:        wrap(log),
		MaxRecords: retention,
		Inject: func(f porttest.LogFault, calls int) {
			fault := injected[f]
			if calls > 0 {
				fault.ToCall = faults.Calls(fault.Point) + calls
			}
			faults.Add(fault)
		},
		ClearFaults: func() {
			faults.Remove(standin.PointAppend)
			faults.Remove(standin.PointRead)
		},
	}
}

func TestContract(t *testing.T) {
	t.Run("stand-in", func(t *testing.T) {
		porttest.TestLog(t, func(*testing.T) porttest.LogRig {
			return rig(func(l port.Log) port.Log { return l })
		})
	})
	t.Run("over HTTP", func(t *testing.T) {
		porttest.TestLog(t, func(t *testing.T) porttest.LogRig {
			return rig(func(l port.Log) port.Log {
				server := httptest.NewServer(standin.LogHandler(l))
				t.Cleanup(server.Close)
				return loghttp.New(server.URL, nil)
			})
		})
	})
}
