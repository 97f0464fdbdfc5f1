package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// TLS names the PEM files of a listener or client. Empty names disable the respective part of TLS.
type TLS struct {
	Certificate string `toml:"certificate"`
	ClientCA    string `toml:"client_ca"`
	Key         string `toml:"key"`
}

// ServerConfig returns the TLS configuration of a listener, or nil if no certificate is set and the listener uses plain
// text. If ClientCA is set, clients must present a certificate that it has signed. Errors name the file that could not
// be read.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil //nolint:nilnil // no certificate means plain text
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if t.ClientCA != "" {
		if config.ClientCAs, err = loadCA(t.ClientCA); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the TLS configuration of a client, or nil if neither a certificate nor ClientCA is set and the
// client uses its defaults. The client presents the certificate, if one is set, and verifies servers against ClientCA
// instead of the system's authorities, if it is set. Errors name the file that could not be read.
func (t TLS) ClientConfig() (*tls.Config, error) {
	if t.Certificate == "" && t.ClientCA == "" {
		return nil, nil //nolint:nilnil // nil means no TLS settings
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return nil, eris.Wrap(err, "certificate")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	if t.ClientCA != "" {
		pool, err := loadCA(t.ClientCA)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return config, nil
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
