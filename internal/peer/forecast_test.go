package peer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/forecast"
	"github.com/laburnumridge/laburnumridge/internal/peer"
)

// Guards against a view that does not survive its way between hosts, that an older host can't read, or that is taken from one of its
// replies.
func TestLoadReplyCarriesView(t *testing.T) {
	v := forecast.View{
		Backlogs: []forecast.Backlog{{Late: forecast.Work{Reserving: 1}, Priority: 2, Work: forecast.Work{BestEffort: 3}}}, BestEffortCPU: 4,
		Errors: forecast.Errors{Count: 5, Deviation: 0.6, Mean: 0.7},
		Fits:   []forecast.ClassFit{{Class: forecast.Class{BestEffort: true, Queue: "q"}, Fit: forecast.Fit{Offset: 0.8, Samples: 9, Share: 0.1, Slope: 0.2, Spread: 0.3}}},
	}
	data, err := cbor.Marshal(peer.Message{LoadReply: &peer.LoadReply{Forecast: &v, Free: 1, Known: true}})
	assert.NilError(t, err)
	var read peer.Message
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.DeepEqual(t, *read.LoadReply.Forecast, v)
	type formerReply struct {
		Free  int64 `json:"free"`
		Known bool  `json:"known"`
	}
	type formerMessage struct {
		LoadReply *formerReply `json:"lr,omitempty"`
	}
	var former formerMessage
	assert.NilError(t, cbor.Unmarshal(data, &former))
	assert.DeepEqual(t, *former.LoadReply, formerReply{Free: 1, Known: true})
	data, err = cbor.Marshal(former)
	assert.NilError(t, err)
	read = peer.Message{}
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.Assert(t, read.LoadReply.Known && read.LoadReply.Forecast == nil)
	full := v
	full.Backlogs = append(full.Backlogs, v.Backlogs[0], v.Backlogs[0])
	full.Fits = append(full.Fits, v.Fits[0], v.Fits[0])
	data, err = cbor.Marshal(full)
	assert.NilError(t, err)
	t.Logf("%d bytes with three queues", len(data))
}
