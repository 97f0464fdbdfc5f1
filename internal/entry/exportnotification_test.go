package entry

import (
	"context"

	"github.com/laburnumridge/laburnumridge/internal/peer"
	"github.com/laburnumridge/laburnumridge/internal/workflow"
)

// Notify handles the message with which another host tells the owner of a shard about a job that it has recorded at a store
// revision; revision 0 is a message of an older build.
func (h *Host) Notify(ctx context.Context, shard int, j workflow.Job, revision int64) error {
	_, err := h.handlePeerMessage(ctx, peer.Message{
		JobSubmit: &peer.JobSubmit{Accepted: true, Job: workflow.Encode(j), Revision: revision, Shard: shard},
	})
	return err
}

// SubmitForPeer handles the message with which another host asks this one to record a job, and returns the reply.
func (h *Host) SubmitForPeer(ctx context.Context, shard int, j workflow.Job) (peer.JobReply, error) {
	m, err := h.handlePeerMessage(ctx, peer.Message{JobSubmit: &peer.JobSubmit{Job: workflow.Encode(j), Shard: shard}})
	if err != nil {
		return peer.JobReply{}, err
	}
	return *m.JobReply, nil
}
