package main

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// resumeWait is the delay before each attempt to resume a stream, since an entry instance that is
// stopping may still accept connections briefly.
const resumeWait = 100 * time.Millisecond

// readStream reads a streamed answer. If p.resume is set, a stream whose connection breaks is resumed.
func (p *phase) readStream(ctx context.Context, response *http.Response, a arrival, text prompt, due time.Time) result {
	var last time.Time
	s := stream{onText: func(at time.Time) {
		if last.IsZero() {
			p.figures.firstToken[a.class].add(at.Sub(due))
		} else {
			p.figures.interToken.add(at.Sub(last))
		}
		last = at
	}}
	token := response.Header.Get("Resume-Token")
	failure, done, err := s.read(response.Body)
	for err != nil && p.resume && token != "" {
		var r result
		response, r, err = p.resumeStream(ctx, a, token, s.sequence)
		switch {
		case ctx.Err() != nil:
			return result{status: statusFailed, kind: "connection-broken"}
		case response != nil:
			failure, done, err = s.read(response.Body)
			response.Body.Close()
		case err == nil:
			return r
		}
	}
	switch {
	case failure != nil:
		return *failure
	case err != nil:
		return transportFailure(err)
	case s.sequenceFailure.status != "":
		return s.sequenceFailure
	case !done:
		return result{status: statusPartial}
	}
	return p.checkAnswer(text, s.text.String())
}

// resumeStream requests the events after the given event id. If both the response and the error are
// nil, the entry replied with an error and the result classifies it.
func (p *phase) resumeStream(ctx context.Context, a arrival, token string, after int) (*http.Response, result, error) {
	if !sleepUntil(ctx, time.Now().Add(resumeWait)) {
		return nil, result{}, ctx.Err()
	}
	response, err := p.keepAliveClient.do(ctx, func(ctx context.Context, entry string) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/streams/"+token, nil)
		if err != nil {
			return nil, err
		}
		request.Header.Set("Last-Event-ID", strconv.Itoa(after))
		p.setHeaders(request, a.key)
		return request, nil
	})
	if err != nil {
		return nil, result{}, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, errorReply(response), nil
	}
	p.figures.addResumed()
	return response, result{}, nil
}
