package fault

// Record counts the requests that reached an emulator, whether they were answered or not.
type Record struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Limited counts those of them that exceeded a rate limit.
	Limited int64 `json:"limited"`
}
