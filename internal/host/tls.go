package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"

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
	if out.caller, err = serverTLS(s.Caller); err != nil {
		return out, eris.Wrap(err, "security.caller")
	}
	if out.peerServer, err = serverTLS(s.Peer); err != nil {
		return out, eris.Wrap(err, "security.peer")
	}
	if out.peerClient, err = clientTLS(s.Peer); err != nil {
		return out, eris.Wrap(err, "security.peer")
	}
	if out.worker, err = clientTLS(s.Worker); err != nil {
		return out, eris.Wrap(err, "security.worker")
	}
	return out, nil
}

// serverTLS asks clients for a certificate if an authority for them is set.
func serverTLS(t settings.TLS) (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil //nolint:nilnil // no certificate means plain text
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if t.ClientCA != "" {
		if c.ClientCAs, err = loadCA(t.ClientCA); err != nil {
			return nil, err
		}
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// clientTLS presents the certificate and checks the server against the same authority.
func clientTLS(t settings.TLS) (*tls.Config, error) {
	if t.Certificate == "" && t.ClientCA == "" {
		return nil, nil //nolint:nilnil // no certificate means plain text
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return nil, eris.Wrap(err, "certificate")
		}
		c.Certificates = []tls.Certificate{cert}
	}
	if t.ClientCA != "" {
		pool, err := loadCA(t.ClientCA)
		if err != nil {
			return nil, err
		}
		c.RootCAs = pool
	}
	return c, nil
}

func loadCA(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "client_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("client_ca: %s holds no certificate", file)
	}
	return pool, nil
}
