package peer

// Notice is an update that is sent to all instances of the domain at once. Only its suspects are forwarded to other domains.
type Notice struct {
	Observations    []Observation
	Suspects        []Suspect
	ManifestVersion uint64 // 0: no new version
	ManifestDigest  string
}
