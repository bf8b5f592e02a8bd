package peer

// Notice is urgent news for all instances of the domain. Of its content only suspects are passed on to other domains.
type Notice struct {
	Observations    []Observation
	Suspects        []Suspect
	ManifestVersion uint64 // 0: no news
	ManifestDigest  string
}
