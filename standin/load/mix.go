// Package load sends a user's seeded mix of requests at a given rate and lets the oracle watch. The load tool, the soak
// run, the benchmark and the slope measurements use it.
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

// Mix says what a user's callers ask for. The shares add up to 1.
type Mix struct {
	Questions, Long, Conversations, Reads, Writes float64

	CatalogueTokens int // text that starts each prompt of an organisation
	LongMin         int // real length of a long answer
	LongMax         int
	LongAllowed     int // max_tokens of a long answer
}

// MixOf returns the mix of a user. The long answers are about a tenth of the real ones, so that a bounded run sees many
// of them; the tokens that the caller allows put them into the long class.
func MixOf(user users.User) Mix {
	m := Mix{
		Questions: 0.55, Long: 0.15, Conversations: 0.1, Reads: 0.1, Writes: 0.1,
		CatalogueTokens: 320, LongMin: 80, LongMax: 160, LongAllowed: 320,
	}
	if user.Name == "zlato" {
		m.Questions, m.Long = 0.45, 0.25
		m.LongMin, m.LongMax, m.LongAllowed = 120, 220, 640
	}
	return m
}

// turn is one request. A conversation has several, one after another.
type turn struct {
	oracle.Request
	content string
	allowed int // max_tokens
	call    string
}

// arrival is one or more turns that start at a time.
type arrival struct {
	at     time.Duration
	caller int
	turns  []turn
}

const (
	questionMin, questionMax = 12, 40 // tokens of a short answer
	questionAllowed          = 64
	turnPause                = 200 * time.Millisecond
	callersPerOrganisation   = 4
)

var words = strings.Fields(`red cap gnome beard boot lantern glaze varnish bowl crack gold leaf saint altar frame wood oak
 lime brush fine coarse matte gloss coat base primer batch stock order garden pond hat blue green ochre umber sienna lead
 white linen panel carving wing angel candle soot wax resin joint repair fill tone retouch light north window parish
 museum guild ledger delivery crate paper seal ink plan measure edge corner bead row`)

// generator makes arrivals from a seed.
type generator struct {
	mix        Mix
	user       users.User
	random     *rand.Rand
	prefix     string // of request identities
	catalogues []string
	number     int
}

func newGenerator(user users.User, seed uint64) *generator {
	g := &generator{mix: MixOf(user), user: user, random: rand.New(rand.NewPCG(seed, 7)), prefix: fmt.Sprintf("%s-%d", user.Name, seed)}
	for range user.Tokens {
		g.catalogues = append(g.catalogues, g.text(g.mix.CatalogueTokens))
	}
	return g
}

func (g *generator) text(count int) string {
	chosen := make([]string, count)
	for i := range chosen {
		chosen[i] = words[g.random.IntN(len(words))]
	}
	return strings.Join(chosen, " ")
}

// arrivals returns open-loop arrivals with exponential gaps.
func (g *generator) arrivals(perSecond float64, duration time.Duration) []arrival {
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return all
		}
		organisation := g.organisation()
		all = append(all, arrival{
			at:     at,
			caller: organisation*callersPerOrganisation + g.random.IntN(callersPerOrganisation),
			turns:  g.turns(organisation),
		})
	}
}

// organisation picks one; the first few are large.
func (g *generator) organisation() int {
	share := g.random.Float64()
	for i, bound := range []float64{0.45, 0.7, 0.85, 0.95} {
		if share < bound && i < len(g.user.Tokens) {
			return i
		}
	}
	return len(g.user.Tokens) - 1
}

func (g *generator) turns(organisation int) []turn {
	m := g.mix
	share := g.random.Float64()
	switch {
	case share < m.Questions:
		return []turn{g.question(g.catalogues[organisation])}
	case share < m.Questions+m.Long:
		length := m.LongMin + g.random.IntN(m.LongMax-m.LongMin)
		return []turn{g.model(g.catalogues[organisation]+" "+g.text(60+g.random.IntN(100)), length, m.LongAllowed)}
	case share < m.Questions+m.Long+m.Conversations:
		return g.conversation(g.catalogues[organisation])
	case share < 1-m.Writes:
		return []turn{g.service(oracle.ReadCall, g.user.IdempotentCall)}
	default:
		return []turn{g.service(oracle.WriteCall, g.user.NonIdempotentCall)}
	}
}

func (g *generator) question(before string) turn {
	length := questionMin + g.random.IntN(questionMax-questionMin)
	return g.model(before+" "+g.text(12), length, questionAllowed)
}

// conversation repeats the earlier questions and answers in each prompt.
func (g *generator) conversation(catalogue string) []turn {
	var turns []turn
	before := catalogue
	for range 2 + g.random.IntN(2) {
		t := g.question(before)
		turns = append(turns, t)
		before = t.content + " " + strings.Join(engine.Answer(t.Prompt, t.AnswerTokens), " ")
	}
	return turns
}

// model makes a request whose prompt is unique by its identity at the end, after the shared text. An answer has the
// length that its first marker says, so that a conversation keeps the first one; later turns rely on it.
func (g *generator) model(text string, length, allowed int) turn {
	t := turn{allowed: allowed}
	t.ID = g.nextID()
	t.Kind = oracle.ModelRequest
	t.content = text + " " + engine.StopMarker(length) + " " + t.ID
	t.Prompt = "user: " + t.content + "\n"
	t.AnswerTokens = engine.AnswerLength(t.Prompt, allowed)
	return t
}

func (g *generator) service(kind oracle.RequestKind, call string) turn {
	t := turn{call: call}
	t.ID = g.nextID()
	t.Kind = kind
	return t
}

func (g *generator) nextID() string {
	g.number++
	return fmt.Sprintf("%s-%d", g.prefix, g.number)
}
