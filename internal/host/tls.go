package host

import (
	"crypto/tls"

	"github.com/rotisserie/eris"

	"github.com/laburnumridge/laburnumridge/internal/settings"
)

// tlsConfigs holds the TLS settings of each kind of connection; nil means plain text.
type tlsConfigs struct {
	caller     *tls.Config
	peerClient *tls.Config
	peerServer *tls.Config
	worker     *tls.Config
}

func loadTLS(s settings.Security) (tlsConfigs, error) {
	var out tlsConfigs
	var err error
	if out.caller, err = s.Caller.ServerConfig(); err != nil {
		return out, eris.Wrap(err, "security.caller")
	}
	if out.peerServer, err = s.Peer.ServerConfig(); err != nil {
		return out, eris.Wrap(err, "security.peer")
	}
	if out.peerClient, err = s.Peer.ClientConfig(); err != nil {
		return out, eris.Wrap(err, "security.peer")
	}
	if out.worker, err = s.Worker.ClientConfig(); err != nil {
		return out, eris.Wrap(err, "security.worker")
	}
	return out, nil
}
