package peer

// Notice is urgent news for all instances of the domain. It is not passed on by its receivers.
type Notice struct {
	Observations    []Observation
	Suspects        []Suspect
	ManifestVersion uint64 // 0: no news
	ManifestDigest  string
}
