package main

// arguments are the command line options.
type arguments struct {
	Entry               []string `arg:"--entry,separate" help:"entry address as HOST:PORT or URL; repeatable" placeholder:"ADDRESS"`
	EntryFile           string   `arg:"--entry-file" help:"file with one entry address per line, reloaded during the run; instead of --entry" placeholder:"FILE"`
	Seconds             float64  `arg:"--seconds" default:"10" help:"length of the run"`
	Rate                float64  `arg:"--rate" default:"10" help:"prompts per second"`
	Seed                uint64   `arg:"--seed" default:"1" help:"seed of arrivals, classes and prompts"`
	Mix                 mix      `arg:"--mix" default:"1k=80,10k=18,100k=2" help:"weights of the prompt length classes 1k, 10k, 100k and 1M (tokens)"`
	StreamedPromptShare float64  `arg:"--stream" default:"0.5" help:"fraction of prompts that are streamed, 0 to 1; time to first token is measured only for these"`
	MaxTokens           int      `arg:"--max-tokens" default:"32" help:"max_tokens of each prompt"`
	Model               string   `arg:"--model" default:"drafting" help:"model name"`
	Keys                string   `arg:"--keys" help:"file with one customer key per line" placeholder:"FILE"`
	TimeoutMillis       int      `arg:"--timeout-ms" default:"30000" help:"timeout of each request, sent as Request-Timeout-Ms"`
	GraceMillis         int      `arg:"--grace-ms" default:"2000" help:"a request without an answer this long after its timeout counts as lost"`
	LimitMillis         int      `arg:"--limit-ms" help:"time within which a prompt of the surge must complete to count as within the limit; default: --timeout-ms"`
	Surge               float64  `arg:"--surge" help:"factor by which the rate of prompts and calls grows during the surge" placeholder:"FACTOR"`
	SurgeStart          float64  `arg:"--surge-start" help:"start of the surge in seconds; default: a third of the run" default:"-1"`
	SurgeSeconds        float64  `arg:"--surge-seconds" help:"length of the surge; default: a third of the run" default:"-1"`
	Documents           int      `arg:"--documents" default:"8" help:"number of different texts that prompts share as a prefix"`
	SharedPrefixShare   float64  `arg:"--document-share" help:"fraction of prompts that begin with a shared text, 0 to 1"`
	Resume              bool     `arg:"--resume" help:"resume streams whose connection breaks, by their resume token, through the next entry"`
	Alone               bool     `arg:"--alone" help:"run the 1k prompts alone first, then all prompts, and report the slowdown of the time to first token of the 1k prompts"`
	Service             string   `arg:"--service" help:"plain service to call" placeholder:"NAME"`
	Call                string   `arg:"--call" default:"POST /bookings" help:"method and path of the non-repeatable call"`
	CallRate            float64  `arg:"--call-rate" help:"calls per second" placeholder:"R"`
	RepeatProbability   float64  `arg:"--repeat" help:"probability that a call is sent a second time with the same Idempotency-Key"`
	Record              []string `arg:"--record,separate" help:"URL of a service emulator's record of executions; repeatable" placeholder:"URL"`
	Outcomes            string   `arg:"--outcomes" help:"file to which one JSON line is written for each request" placeholder:"FILE"`
	MaxInFlight         int      `arg:"--max-in-flight" default:"20000" help:"maximum number of requests in flight; further arrivals are counted as unsent"`
	JSON                bool     `arg:"--json" help:"print the figures as JSON"`
}
