package fault

// Record counts the requests that an emulator received, answered or not.
type Record struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Limited is the number of requests that exceeded a rate limit.
	Limited int64 `json:"limited"`
}
