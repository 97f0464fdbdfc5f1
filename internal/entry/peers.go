package entry

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/shard"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

var errUnknownMessage = eris.New("message is not known")

// handlePeerMessage answers a request of another entry host.
func (h *Host) handlePeerMessage(ctx context.Context, m peer.Message) (peer.Message, error) {
	switch {
	case m.JobSubmit != nil:
		return h.handleSubmit(ctx, *m.JobSubmit)
	case m.JobCancel != nil:
		return h.handleCancel(ctx, *m.JobCancel), nil
	case m.JobPrevent != nil:
		return h.handlePrevent(ctx, *m.JobPrevent), nil
	case m.RecordsWrite != nil:
		return h.handleRecordsWrite(ctx, *m.RecordsWrite)
	case m.JobQuery != nil:
		return h.handleQuery(ctx, *m.JobQuery), nil
	case m.PendingQuery != nil:
		n, known := h.ownedShards.pending(m.PendingQuery.Shard, m.PendingQuery.Queue)
		return peer.Message{PendingReply: &peer.PendingReply{Count: n, Known: known}}, nil
	case m.JobExpected != nil:
		e := *m.JobExpected
		h.ownedShards.expectJob(e.Shard, e.ID, e.Service, shard.Load{Fill: e.Fill, Free: e.Free})
		return peer.Message{}, nil
	case m.LoadQuery != nil:
		l, suits, known := h.ownedShards.serviceLoad(m.LoadQuery.Shard, m.LoadQuery.Service, decodeDemands(m.LoadQuery.Demands))
		return peer.Message{LoadReply: &peer.LoadReply{
			Expected: l.Expected, Fill: l.Fill, Forecast: l.Forecast, Free: l.Free, Interrupted: l.Interrupted, Known: known, Left: l.Left,
			Room: l.Room, Unsuitable: known && !suits,
		}}, nil
	case m.RoomQuery != nil:
		room := h.ownedShards.promiseRoom(m.RoomQuery.Shard, decodeDemands(m.RoomQuery.Demands))
		return peer.Message{RoomReply: &peer.RoomReply{Room: room}}, nil
	case m.ConfigQuery != nil:
		reply := &peer.ConfigReply{Evacuations: h.config.evacuations.NewerThan(m.ConfigQuery.Evacuations)}
		if active := h.config.current.Load(); active != nil && active.config.Version > m.ConfigQuery.Version {
			reply.Data = active.data
		}
		return peer.Message{ConfigReply: reply}, nil
	}
	return peer.Message{}, errUnknownMessage
}

func (h *Host) handleSubmit(ctx context.Context, s peer.JobSubmit) (peer.Message, error) {
	j, err := workflow.Decode[workflow.Job](s.Job)
	if err != nil {
		return peer.Message{}, err
	}
	if s.Accepted {
		h.ownedShards.addJob(s.Shard, j, s.Revision)
		return jobReply(OutcomeAccepted, s.Shard, ""), nil
	}
	if !h.session.isHealthy() {
		return jobReply(OutcomeRefused, s.Shard, ""), nil
	}
	a, record := h.recordJob(ctx, j, s.Shard, acceptTimeout)
	if a.Outcome == OutcomeAccepted && record.State == "" {
		h.ownedShards.addJob(record.Shard, j, record.revision)
	}
	h.logAnswer("submit_for_peer", j.ID, j.Queue, a)
	reply := jobReply(a.Outcome, record.Shard, record.State)
	reply.JobReply.Revision = record.revision
	return reply, nil
}

func (h *Host) handleCancel(ctx context.Context, c peer.JobCancel) peer.Message {
	if !c.Recorded {
		if !h.session.isHealthy() {
			return jobReply(OutcomeRefused, c.Shard, "")
		}
		if a := h.recordCancel(ctx, c.Shard, c.ID); a.Outcome != OutcomeAccepted || a.State.IsFinal() {
			return jobReply(a.Outcome, c.Shard, a.State)
		}
	}
	h.ownedShards.cancelJob(c.Shard, c.ID)
	return jobReply(OutcomeAccepted, c.Shard, "")
}

func (h *Host) handleQuery(ctx context.Context, q peer.JobQuery) peer.Message {
	if q.Shard < 0 {
		location, err := h.readLocation(ctx, q.ID, false)
		switch {
		case errors.Is(err, errJobNotFound):
			return jobReply(OutcomeNoJob, 0, "")
		case err != nil:
			return jobReply(OutcomeRefused, 0, "")
		}
		return jobReply(OutcomeAccepted, location.Shard, location.State)
	}
	if s, _, ok := h.ownedShards.state(q.Shard, q.ID); ok {
		return jobReply(OutcomeAccepted, q.Shard, s)
	}
	return jobReply(OutcomeNoJob, q.Shard, "")
}

func jobReply(o Outcome, shard int, s workflow.State) peer.Message {
	return peer.Message{JobReply: &peer.JobReply{Outcome: string(o), Shard: shard, State: string(s)}}
}
