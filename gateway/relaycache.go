package gateway

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// topicCache holds the records of a topic that a process has read.
type topicCache struct {
	// records are the latest records, from the offset first to the offset before end.
	records []port.TopicRecord
	era     port.Era
	first   int64
	end     int64
	// newest holds the newest record of each key; of all keys if complete is set.
	newest   map[string]port.TopicRecord
	complete bool
	// asOf is a time at which the store held nothing after end.
	asOf time.Time
	// failing is set while this process's own read of the store has failed, or is unanswered for storeSilence, since the
	// last page.
	failing bool
	// reads counts the pages, also those without records.
	reads int64
	// packed holds the compressed records of the replies up to end, by the offset that they were asked
	// from; packing is held while one of them is made.
	packing sync.Mutex
	packed  map[int64][]byte
	wake    chan struct{} // closed by each page
}

// read answers from the cached records. If there is nothing to return yet it also returns the channel that
// is closed by the next page, also if the cache is older than the read allows (Stale).
func (s *relayState) read(now time.Time, req readRequest) (reply readReply, wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[req.Topic]
	if cache == nil || cache.era < req.Era || req.From < 0 && !cache.complete {
		return readReply{Unready: true}, nil
	}
	reply = readReply{Era: cache.era, End: cache.end, Reads: cache.reads, Age: now.Sub(cache.asOf)}
	if reply.Age > req.maxAge() {
		reply.Stale, reply.CutOff = true, cache.failing
		return reply, cache.wake
	}
	switch {
	case req.From < 0:
		for _, record := range cache.newest {
			reply.Records = append(reply.Records, record)
		}
	case req.From < cache.first || req.Era != cache.era:
		reply.Expired = true
	case req.From < cache.end:
		reply.Records = slices.Clone(cache.records[req.From-cache.first:])
	default:
		reply.End = req.From
		if req.Reads == cache.reads {
			wake = cache.wake
		}
	}
	return reply, wake
}

// packReply compresses the records of a reply if they are large. Hosts that ask from the same offset get
// the same bytes, compressed once.
func (s *relayState) packReply(req readRequest, reply readReply) (readReply, error) {
	size := 0
	for _, r := range reply.Records {
		size += len(r.Value)
	}
	if size < minPackedReplyBytes {
		return reply, nil
	}
	s.mu.Lock()
	cache := s.topics[req.Topic]
	s.mu.Unlock()
	if cache == nil {
		return reply, nil // dropped since
	}
	cache.packing.Lock()
	defer cache.packing.Unlock()
	s.mu.Lock()
	packed, ok := cache.packed[req.From]
	ok = ok && cache.era == reply.Era && cache.end == reply.End
	s.mu.Unlock()
	if !ok {
		raw, err := json.Marshal(reply.Records)
		if err != nil {
			return readReply{}, errors.Wrap(err, "encode records")
		}
		if packed, err = pack(raw); err != nil {
			return readReply{}, err
		}
		s.mu.Lock()
		if cache.end == reply.End {
			cache.packed[req.From] = packed
		}
		s.mu.Unlock()
	}
	reply.Records, reply.Packed = nil, packed
	return reply, nil
}

// cachePage adds a page that this process has read of a topic, to answer other hosts from. A
// snapshot, which holds the newest record of each key, replaces what is cached of the topic. asOf is as in
// topicCache.
func (s *relayState) cachePage(topic port.Topic, snapshot bool, page port.TopicPage, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[topic]
	if snapshot || cache == nil {
		reads := int64(0)
		if cache != nil {
			close(cache.wake)
			reads = cache.reads
		}
		close(s.added)
		s.added = make(chan struct{})
		cache = &topicCache{reads: reads, era: page.Era, first: page.End, end: page.End, newest: map[string]port.TopicRecord{}, complete: snapshot, packed: map[int64][]byte{}, wake: make(chan struct{})}
		s.topics[topic] = cache
	}
	for _, record := range page.Records {
		if record.Removed() {
			delete(cache.newest, record.Key)
		} else {
			cache.newest[record.Key] = record
		}
		if !snapshot {
			cache.records = append(cache.records, record)
		}
	}
	cache.end, cache.failing = page.End, false
	cache.reads++
	if asOf.After(cache.asOf) {
		cache.asOf = asOf
	}
	maxBytes := maxIdleCachedBytes
	if s.relays(time.Now()) {
		maxBytes = maxCachedBytes
	}
	cache.records = latestRecords(cache.records, maxCachedRecords, maxBytes)
	cache.first = cache.end - int64(len(cache.records))
	if len(page.Records) > 0 {
		cache.packed = map[int64][]byte{}
	}
	close(cache.wake)
	cache.wake = make(chan struct{})
}

// readFailed records that this process's own read of a topic has failed or is not answered in time. Hosts whose reads wait
// for it are answered at once, so that they ask another relay.
func (s *relayState) readFailed(topic port.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[topic]
	if cache == nil || cache.failing {
		return
	}
	cache.failing = true
	close(cache.wake)
	cache.wake = make(chan struct{})
}

// latestRecords returns the last records, at most maxCount with at most maxBytes of values.
func latestRecords(records []port.TopicRecord, maxCount, maxBytes int) []port.TopicRecord {
	first, size := len(records), 0
	for first > 0 && len(records)-first < maxCount && size+len(records[first-1].Value) <= maxBytes {
		first--
		size += len(records[first].Value)
	}
	if first == 0 {
		return records
	}
	return slices.Clone(records[first:])
}
