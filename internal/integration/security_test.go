package integration_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	lr "github.com/laburnumridge/laburnumridge/pkg/laburnumridge"
)

const operatorToken = "a-token-of-the-test"

// certificateAuthority signs certificates for 127.0.0.1.
type certificateAuthority struct {
	cert *x509.Certificate
	dir  string
	key  *ecdsa.PrivateKey
	t    *testing.T
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{dir: t.TempDir(), t: t}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a.cert = certificateTemplate(1, true)
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, a.key.Public(), a.key)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// certificateTemplate returns a certificate for clients and servers on 127.0.0.1 that is valid for an hour.
func certificateTemplate(serial int64, isCA bool) *x509.Certificate {
	return &x509.Certificate{
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  isCA,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		NotAfter:              time.Now().Add(time.Hour),
		NotBefore:             time.Now().Add(-time.Hour),
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "test"},
	}
}

// write writes a PEM file and returns its path.
func (a *certificateAuthority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Bytes: der, Type: kind}), 0o600))
	return file
}

// sign returns the paths of a new certificate and its key.
func (a *certificateAuthority) sign(name string) (cert, key string) {
	a.t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(2, false), a.cert, privateKey.Public(), a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	assert.NilError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+"-key.pem", "PRIVATE KEY", keyDER)
}

// clientTLS returns TLS settings that trust a and present a certificate issued by issuer, or none if issuer is nil.
func (a *certificateAuthority) clientTLS(issuer *certificateAuthority) *tls.Config {
	a.t.Helper()
	pool := x509.NewCertPool()
	text, err := os.ReadFile(filepath.Join(a.dir, "ca.pem"))
	assert.NilError(a.t, err)
	assert.Assert(a.t, pool.AppendCertsFromPEM(text))
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if issuer != nil {
		pair, err := tls.LoadX509KeyPair(issuer.sign("client"))
		assert.NilError(a.t, err)
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}

// Guards against entry hosts that accept connections of a peer or a caller without a certificate of the configured CA, or
// notes of an operator without the token.
func TestCredentials(t *testing.T) {
	startParallel(t)
	ca, foreign := newCertificateAuthority(t), newCertificateAuthority(t)
	cert, key := ca.sign("host")
	text := fmt.Sprintf("[security]\noperator_token = %q\n", operatorToken)
	for _, kind := range []string{"caller", "peer"} {
		text += fmt.Sprintf("[security.%s]\ncertificate = %q\nkey = %q\nclient_ca = %q\n",
			kind, cert, key, filepath.Join(ca.dir, "ca.pem"))
	}
	validTLS := ca.clientTLS(ca)
	c := startCluster(t, clusterConfig{zones: []zoneSize{{"wattala", 2, 2}}, settings: text, tls: validTLS, token: operatorToken})
	e := c.entries[0]
	for name, config := range map[string]*tls.Config{
		"no certificate": ca.clientTLS(nil), "certificate of a foreign authority": ca.clientTLS(foreign),
	} {
		for _, address := range []string{e.callerAddress, e.peerAddress} {
			client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{TLSClientConfig: config}}
			for _, path := range []string{"/peer", "/forward/orders/x", "/orders/x", "/v1/status", "/readyz"} {
				res, err := client.Get("https://" + address + path)
				if err == nil {
					_ = res.Body.Close()
				}
				assert.Check(t, err != nil, "%s: %s%s answered", name, address, path)
			}
		}
		plain, err := http.Get("http://" + e.peerAddress + "/forward/orders/x")
		if err == nil {
			_ = plain.Body.Close()
			assert.Check(t, plain.StatusCode >= http.StatusBadRequest, "peer listener answered a request without TLS")
		}
	}
	for _, token := range []string{"", "wrong", operatorToken + "x"} {
		client, err := lr.New(lr.WithURLs(e.url()), lr.WithTLS(validTLS), lr.WithToken(token))
		assert.NilError(t, err)
		_, err = client.Publish(context.Background(), []byte(changeNote("stolen", 1, "added", "stolen")))
		assert.ErrorIs(t, err, lr.ErrUnauthorized)
		assert.ErrorIs(t, err, lr.ErrNotRun)
	}
	notes, err := e.client(t).Notes(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(notes), 1)
	eventually(t, "peers over TLS", func() error {
		in, err := e.client(t).InForce(context.Background(), "")
		return errorUnless(err == nil && len(in.Hosts) == 2 && in.Hosts[0].Reachable && in.Hosts[1].Reachable, "%+v (%v)", in, err)
	})
}
