// Package load generates load: it sends a user's mix of requests at a given rate, reproducibly from a seed, and records
// each request with the oracle. The load tool, the soak run, the benchmark and the slope measurements use it.
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/users"
)

// Mix is the composition of a user's load. The shares of arrivals add up to 1; a conversation is one arrival. Short and long
// are model requests with a short and a long answer; reads and writes are service calls.
type Mix struct {
	ShortShare, LongShare, ConversationShare, ReadShare, WriteShare float64

	SharedPrefixTokens   int // length of the text that all prompts of an organisation start with
	LongAnswerMinTokens  int // shortest length of a long answer
	LongAnswerMaxTokens  int // bound of its length, exclusive
	LongAnswerTokenLimit int // max_tokens of its request
}

// MixOf returns the mix of a user. Long answers have about a tenth of their real length, so that a bounded run has many of
// them; their max_tokens puts them into the long class.
func MixOf(user users.User) Mix {
	m := Mix{
		ShortShare: 0.55, LongShare: 0.15, ConversationShare: 0.1, ReadShare: 0.1, WriteShare: 0.1,
		SharedPrefixTokens: 320, LongAnswerMinTokens: 80, LongAnswerMaxTokens: 160, LongAnswerTokenLimit: 320,
	}
	if user.Name == "zlato" {
		m.ShortShare, m.LongShare = 0.45, 0.25
		m.LongAnswerMinTokens, m.LongAnswerMaxTokens, m.LongAnswerTokenLimit = 120, 220, 640
	}
	return m
}

// turn is one request. A conversation consists of several turns in sequence.
type turn struct {
	oracle.Request
	content     string
	maxTokens   int
	servicePath string // service and path of a service call
}

// arrival is a request, or a conversation of several, that starts at an offset from the start of the load.
type arrival struct {
	startOffset time.Duration
	clientIndex int
	turns       []turn
}

const (
	shortAnswerMinTokens, shortAnswerMaxTokens = 12, 40                 // length of a short answer; the second is exclusive
	shortAnswerTokenLimit                      = 64                     // max_tokens of its request
	thinkTime                                  = 200 * time.Millisecond // between the turns of a conversation
	clientsPerOrganisation                     = 4
)

var vocabulary = strings.Fields(`red cap gnome beard boot lantern glaze varnish bowl crack gold leaf saint altar frame wood oak
 lime brush fine coarse matte gloss coat base primer batch stock order garden pond hat blue green ochre umber sienna lead
 white linen panel carving wing angel candle soot wax resin joint repair fill tone retouch light north window parish
 museum guild ledger delivery crate paper seal ink plan measure edge corner bead row`)

// generator generates the same arrivals from the same seed.
type generator struct {
	mix            Mix
	user           users.User
	random         *rand.Rand
	idPrefix       string   // of request IDs
	sharedPrefixes []string // one for each organisation
	requestCount   int
}

func newGenerator(user users.User, seed uint64) *generator {
	g := &generator{mix: MixOf(user), user: user, random: rand.New(rand.NewPCG(seed, 7)), idPrefix: fmt.Sprintf("%s-%d", user.Name, seed)}
	for range user.Tokens {
		g.sharedPrefixes = append(g.sharedPrefixes, g.randomText(g.mix.SharedPrefixTokens))
	}
	return g
}

// randomText returns count random words.
func (g *generator) randomText(count int) string {
	chosen := make([]string, count)
	for i := range chosen {
		chosen[i] = vocabulary[g.random.IntN(len(vocabulary))]
	}
	return strings.Join(chosen, " ")
}

// arrivals returns open-loop arrivals with exponentially distributed intervals.
func (g *generator) arrivals(perSecond float64, duration time.Duration) []arrival {
	var all []arrival
	offset := time.Duration(0)
	for {
		offset += time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
		if offset >= duration {
			return all
		}
		organisation := g.pickOrganisation()
		all = append(all, arrival{
			startOffset: offset,
			clientIndex: organisation*clientsPerOrganisation + g.random.IntN(clientsPerOrganisation),
			turns:       g.pickTurns(organisation),
		})
	}
}

// pickOrganisation returns the index of a random organisation. The first ones are large: 45%, 25%, 15% and 10% of arrivals.
func (g *generator) pickOrganisation() int {
	sample := g.random.Float64()
	for i, cumulativeShare := range []float64{0.45, 0.7, 0.85, 0.95} {
		if sample < cumulativeShare && i < len(g.user.Tokens) {
			return i
		}
	}
	return len(g.user.Tokens) - 1
}

// pickTurns returns the turns of one arrival, of a kind drawn by the shares of the mix.
func (g *generator) pickTurns(organisation int) []turn {
	m := g.mix
	sample := g.random.Float64()
	switch {
	case sample < m.ShortShare:
		return []turn{g.shortAnswerTurn(g.sharedPrefixes[organisation])}
	case sample < m.ShortShare+m.LongShare:
		length := m.LongAnswerMinTokens + g.random.IntN(m.LongAnswerMaxTokens-m.LongAnswerMinTokens)
		return []turn{g.modelTurn(g.sharedPrefixes[organisation]+" "+g.randomText(60+g.random.IntN(100)), length, m.LongAnswerTokenLimit)}
	case sample < m.ShortShare+m.LongShare+m.ConversationShare:
		return g.conversationTurns(g.sharedPrefixes[organisation])
	case sample < 1-m.WriteShare:
		return []turn{g.serviceTurn(oracle.ReadCall, g.user.IdempotentCall)}
	default:
		return []turn{g.serviceTurn(oracle.WriteCall, g.user.NonIdempotentCall)}
	}
}

// shortAnswerTurn returns a question with a short answer, whose prompt starts with history.
func (g *generator) shortAnswerTurn(history string) turn {
	length := shortAnswerMinTokens + g.random.IntN(shortAnswerMaxTokens-shortAnswerMinTokens)
	return g.modelTurn(history+" "+g.randomText(12), length, shortAnswerTokenLimit)
}

// conversationTurns returns the turns of a conversation. Each prompt repeats the earlier questions and answers.
func (g *generator) conversationTurns(sharedPrefix string) []turn {
	var turns []turn
	history := sharedPrefix
	for range 2 + g.random.IntN(2) {
		t := g.shortAnswerTurn(history)
		turns = append(turns, t)
		history = t.content + " " + strings.Join(engine.Answer(t.Prompt, t.AnswerTokens), " ")
	}
	return turns
}

// modelTurn returns a model request. Its ID at the end of the prompt, after the shared text, makes the prompt unique. The
// engine takes the length of the answer from the first stop marker in the prompt, so all answers of a conversation have the
// length of the first one, which later turns rely on.
func (g *generator) modelTurn(text string, length, maxTokens int) turn {
	t := turn{maxTokens: maxTokens}
	t.ID = g.nextID()
	t.Kind = oracle.ModelRequest
	t.content = text + " " + engine.StopMarker(length) + " " + t.ID
	t.Prompt = "user: " + t.content + "\n"
	t.AnswerTokens = engine.AnswerLength(t.Prompt, maxTokens)
	return t
}

// serviceTurn returns a service call.
func (g *generator) serviceTurn(kind oracle.RequestKind, servicePath string) turn {
	t := turn{servicePath: servicePath}
	t.ID = g.nextID()
	t.Kind = kind
	return t
}

func (g *generator) nextID() string {
	g.requestCount++
	return fmt.Sprintf("%s-%d", g.idPrefix, g.requestCount)
}
