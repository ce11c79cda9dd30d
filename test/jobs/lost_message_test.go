package jobs

import (
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

var (
	lostMessages = flag.Int("lost-messages", 12, "number of cases of one lost message per scenario; 0 plays all")
	lostPairs    = flag.Int("lost-pairs", 0, "number of random cases of two lost messages per scenario")
	lostSeed     = flag.Uint64("lost-seed", 1, "seed of the random cases")
	lostCase     = flag.String("lost-case", "", "the only case of lost messages to play, as in the name of its subtest")
)

// thinning is the number of messages of a frequent kind of which one is chosen.
var thinning = map[string]int{"AgentPing": 12, "PingReply": 12, "PeerPing": 6, "RunProgress": 4}

// messageCase is a play of a scenario with faults at one or two messages.
type messageCase struct {
	scenario string
	faults   []messageFault
}

func (c messageCase) String() string {
	var names []string
	for _, f := range c.faults {
		names = append(names, f.String())
	}
	return c.scenario + "/" + strings.Join(names, "+")
}

// TestLostMessages guards against a fact that is told once and lost with a message, a link or a process. It plays fixed
// scenarios again and again, each time with a fault at one of their messages.
func TestLostMessages(t *testing.T) {
	if *lostCase != "" {
		runMessageCase(t, parseCase(t, *lostCase))
		return
	}
	notReached, played := 0, 0
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		messages := listMessages(t, name)
		cases := append(selectCases(name, messages, *lostMessages), randomPairs(name, messages, *lostPairs)...)
		t.Logf("%s: %d messages chosen, %d cases", name, len(messages), len(cases))
		for _, c := range cases {
			played++
			if !runMessageCase(t, c) {
				notReached++
			}
		}
	}
	t.Logf("%d cases played, of which %d did not send a message", played, notReached)
	if 4*notReached > played && *lostPairs == 0 {
		t.Errorf("the message was not sent in %d of %d cases", notReached, played)
	}
}

// listMessages plays a scenario without a fault and returns its messages without most of the frequent kinds.
func listMessages(t *testing.T, scenario string) []messageKey {
	var messages []messageKey
	t.Run(scenario+"/no fault", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			messages, _ = runPlay(t, scenarios[scenario], nil)
		})
	})
	messages = slices.DeleteFunc(messages, func(key messageKey) bool {
		every := thinning[key.kind]
		return every > 0 && key.number%every != every/2
	})
	slices.SortFunc(messages, compareMessages)
	return messages
}

func compareMessages(x, y messageKey) int {
	prefix := func(k messageKey) string { return k.from + ">" + k.to + "/" + k.kind }
	if order := strings.Compare(prefix(x), prefix(y)); order != 0 {
		return order
	}
	return x.number - y.number
}

// selectCases returns an even selection of count cases, or all cases if count is 0.
func selectCases(scenario string, messages []messageKey, count int) []messageCase {
	var cases []messageCase
	if count == 0 || count >= len(messages)*len(faultKinds) {
		for i, message := range messages {
			for _, fault := range faultKinds {
				cases = append(cases, messageCase{scenario, []messageFault{{message, fault, i}}})
			}
		}
		return cases
	}
	for i := range count {
		position := i * len(messages) / count
		fault := messageFault{messages[position], faultKinds[i%len(faultKinds)], position}
		cases = append(cases, messageCase{scenario, []messageFault{fault}})
	}
	return cases
}

// randomPairs returns random cases of two faults. A message is not lost alone in them, as no link loses one.
func randomPairs(scenario string, messages []messageKey, count int) []messageCase {
	random := rand.New(rand.NewPCG(*lostSeed, 3))
	kinds := slices.DeleteFunc(slices.Clone(faultKinds), func(kind faultKind) bool { return kind == faultDrop })
	pick := func() messageFault {
		position := random.IntN(len(messages))
		return messageFault{messages[position], kinds[random.IntN(len(kinds))], position}
	}
	var cases []messageCase
	for len(cases) < count {
		first, second := pick(), pick()
		if first.message != second.message {
			cases = append(cases, messageCase{scenario, []messageFault{first, second}})
		}
	}
	return cases
}

// runMessageCase plays one case and returns whether its messages were sent.
func runMessageCase(t *testing.T, c messageCase) (reached bool) {
	t.Run(c.String(), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { _, reached = runPlay(t, scenarios[c.scenario], c.faults) })
		if !t.Failed() {
			return
		}
		for _, f := range c.faults {
			t.Logf("message %d: %s, fault %s", f.position, f.message, f.fault)
		}
		t.Logf("again with -run '^TestLostMessages$' -args -trace -lost-case '%s'", c)
	})
	return reached
}

// parseCase returns the case with the name of its subtest.
func parseCase(t *testing.T, name string) messageCase {
	t.Helper()
	scenario, rest, _ := strings.Cut(name, "/")
	if scenarios[scenario].events == nil {
		t.Fatalf("no such scenario: %s", name)
	}
	c := messageCase{scenario: scenario}
	for fault := range strings.SplitSeq(rest, "+") {
		parts := strings.Split(fault, "/")
		if len(parts) != 4 || !slices.Contains(faultKinds, faultKind(parts[3])) {
			t.Fatalf("not a fault: %s", fault)
		}
		from, to, _ := strings.Cut(parts[0], ">")
		number, err := strconv.Atoi(parts[2])
		if err != nil {
			t.Fatal(err)
		}
		key := messageKey{from: from, to: to, kind: parts[1], number: number}
		c.faults = append(c.faults, messageFault{message: key, fault: faultKind(parts[3])})
	}
	return c
}
