package notice

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/clock"
)

// Word is what one entry tells others of a replica that leaves or was replaced.
type Word struct {
	Replica string `json:"r"`
	// Incarnation is the run of the replica.
	Incarnation int64 `json:"i,omitempty"`
	// Source is the entry whose request the replica answered, and Age the time since
	// the answer.
	Source string       `json:"s"`
	Age    clock.Millis `json:"a,omitempty"`
}

// Bounds on words.
const (
	// wordLife is how long after an answer the word of it counts.
	wordLife = 30 * clock.Second
	// maxWords bounds the words in one message.
	maxWords = 32
	// wordStep is the least difference in time by which a word replaces another. It
	// exceeds the delay of a message, so that a word doesn't become newer by being
	// passed on.
	wordStep = 1 * clock.Second
)

// heard is a word that was received.
type heard struct {
	source      string
	incarnation int64
	// at is the instant of the answer.
	at clock.Millis
}

// valid reports whether there is a word that counts.
func (h *heard) valid(now clock.Millis) bool { return h.source != "" && now-h.at < wordLife }

// retained reports whether there is a word that is still compared with others. It
// outlasts its validity, so that the same word isn't taken for a new one.
func (h *heard) retained(now clock.Millis) bool { return h.source != "" && now-h.at < 2*wordLife }

// WordsFor returns the next words for a peer: those that were learned since the last ones,
// the first ones first, and once in retellTime all. They are this entry's own, and with
// forward also those of other entries, for peers that these don't send to.
func (t *Table) WordsFor(peer string, forward bool) []Word {
	now := t.Clock.Now()
	var words []Word
	t.told.Update(peer, func(p toldPeer, known bool) (toldPeer, bool) {
		if !known || now-p.all >= retellTime {
			p = toldPeer{all: now}
		}
		p.before = p.last
		list := t.learnedAfter(p.last, forward)
		for _, w := range list[:min(len(list), maxWords)] {
			words, p.last = append(words, w.Word), w.learned
		}
		return p, true
	})
	return words
}

// Unsent has the peer told again what the last [Table.WordsFor] returned.
func (t *Table) Unsent(peer string) {
	t.told.Update(peer, func(p toldPeer, known bool) (toldPeer, bool) {
		p.last = p.before
		return p, known
	})
}

// ForgetPeer has the peer told everything once more.
func (t *Table) ForgetPeer(peer string) { t.told.Delete(peer) }

// retellTime is the time after which a peer is told everything once more: it may have
// missed a message.
const retellTime = 15 * clock.Second

// toldPeer is what a peer was told: the words up to the number last, or up to before until
// the last message. all is the instant at which it was last told everything.
type toldPeer struct {
	last, before uint64
	all          clock.Millis
}

// learnedWord is a word with its number in the order in which this entry learned them.
type learnedWord struct {
	Word
	learned uint64
}

// learnedAfter returns the words that were learned after that with the given number, in
// their order.
func (t *Table) learnedAfter(number uint64, forward bool) []learnedWord {
	now := t.Clock.Now()
	// A word with a higher number may be found before one with a lower number is stored.
	newest := t.learned.Load()
	var words []learnedWord
	t.states.Each(func(name string, s state) bool {
		w := Word{Replica: name, Incarnation: s.incarnation, Source: t.Self}
		switch {
		case s.replaced(now):
			w.Age = now - s.replacedAt
		case s.leaving && now-s.statedAt < wordLife:
			w.Age = now - s.statedAt
		case forward && s.heard.valid(now):
			w = Word{Replica: name, Incarnation: s.heard.incarnation, Source: s.heard.source, Age: now - s.heard.at}
		default:
			return true
		}
		if s.learned > number && s.learned <= newest {
			words = append(words, learnedWord{w, s.learned})
		}
		return true
	})
	slices.SortFunc(words, func(a, b learnedWord) int { return cmp.Compare(a.learned, b.learned) })
	return words
}

// newestWords sorts words, the newest first, and returns up to maxWords of them.
func newestWords(words []Word) []Word {
	slices.SortFunc(words, func(a, b Word) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Replica, b.Replica)) })
	return words[:min(len(words), maxWords)]
}

// HandleWords processes the words of a peer. It reports whether one of them tells of a
// replica that wasn't known to leave.
func (t *Table) HandleWords(words []Word) (news bool) {
	if len(words) == 0 {
		return false
	}
	now := t.Clock.Now()
	for _, w := range words[:min(len(words), maxWords)] {
		h := heard{source: w.Source, incarnation: w.Incarnation, at: now - max(0, w.Age)}
		if !h.valid(now) {
			continue
		}
		r, listed := t.runs.Get(w.Replica)
		fresh := false
		t.states.Update(w.Replica, func(s state, known bool) (state, bool) {
			switch {
			case s.heard.retained(now) && s.heard.incarnation == h.incarnation && h.at < s.heard.at+wordStep:
			case s.heard.valid(now) && listed && s.heard.incarnation == r.incarnation && h.incarnation != r.incarnation:
				// The peer's list is older, or newer, than this entry's.
			default:
				fresh = !(s.heard.valid(now) && s.heard.incarnation == h.incarnation) && !(s.leaving && s.incarnation == h.incarnation)
				s.heard = h
				if fresh {
					s.learned = t.learned.Add(1)
				}
			}
			return s, known || s.heard.source != ""
		})
		if fresh {
			news = true
			t.log().Info("notice: a peer tells that a replica leaves", zap.String("replica", w.Replica),
				zap.Int64("run", w.Incarnation), zap.String("source", w.Source), zap.Int64("age", int64(w.Age)))
		}
	}
	t.dropExpired(now)
	return news
}

// dropExpired drops the replicas of which nothing is known any more.
func (t *Table) dropExpired(now clock.Millis) {
	t.states.Each(func(_ string, s state) bool {
		return s.retained(now)
	})
}
