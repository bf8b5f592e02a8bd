package settings

// TLS holds the paths of the certificate and key files; empty fields mean connections without TLS.
type TLS struct {
	CallerCertFile string
	CallerKeyFile  string
	PeerCertFile   string
	PeerKeyFile    string
	// PeerCAFile holds the CA certificates that verify those of the peers.
	PeerCAFile string
}

func (t *TLS) read(r *reader) {
	const section = "tls"
	t.CallerCertFile, t.CallerKeyFile = r.filePair(section, "caller-cert-file", "caller-key-file")
	t.PeerCertFile, t.PeerKeyFile = r.filePair(section, "peer-cert-file", "peer-key-file")
	t.PeerCAFile = r.filePath(section, "peer-ca-file")
	if (t.PeerCAFile == "") != (t.PeerCertFile == "") {
		r.addProblem(section, "peer-ca-file", "", "name peer-cert-file, peer-key-file and peer-ca-file, or none of them",
			"TLS between instances needs a certificate and the authority that verifies it")
	}
}
