package jobs

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
)

var (
	lostMessages = flag.Int("lost-messages", 12, "number of cases of lost messages per scenario; 0 plays all")
	lostCase     = flag.String("lost-case", "", "the only case of a lost message to play, as in the name of its subtest")
)

// thinning is the number of messages of a frequent kind of which one is chosen.
var thinning = map[string]int{"AgentPing": 12, "PingReply": 12, "PeerPing": 6, "RunProgress": 4}

// messageCase is one fault at one message of a scenario.
type messageCase struct {
	scenario string
	// position is the number of the message in the sorted list of the scenario.
	position int
	message  messageKey
	fault    faultKind
}

func (c messageCase) String() string {
	return fmt.Sprintf("%s/%s/%s", c.scenario, c.message, c.fault)
}

// TestLostMessages guards against a fact that is told once and lost with a message, a link or a process. It plays a fixed
// scenario again and again, each time with one fault at one of its messages.
func TestLostMessages(t *testing.T) {
	if *lostCase != "" {
		runMessageCase(t, parseCase(t, *lostCase))
		return
	}
	notReached, played := 0, 0
	for _, scenario := range slices.Sorted(maps.Keys(scenarios)) {
		messages := listMessages(t, scenario)
		cases := selectCases(scenario, messages, *lostMessages)
		t.Logf("%s: %d messages chosen, %d cases", scenario, len(messages), len(cases))
		for _, c := range cases {
			played++
			if !runMessageCase(t, c) {
				notReached++
			}
		}
	}
	t.Logf("%d cases played, of which %d did not send the message", played, notReached)
	if 4*notReached > played {
		t.Errorf("the message was not sent in %d of %d cases", notReached, played)
	}
}

// listMessages plays a scenario without a fault and returns its messages without most of the frequent kinds.
func listMessages(t *testing.T, scenario string) []messageKey {
	var messages []messageKey
	t.Run(scenario+"/no fault", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			messages, _ = runPlay(t, scenarios[scenario], messageKey{}, "")
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
				cases = append(cases, messageCase{scenario, i, message, fault})
			}
		}
		return cases
	}
	for i := range count {
		position := i * len(messages) / count
		cases = append(cases, messageCase{scenario, position, messages[position], faultKinds[i%len(faultKinds)]})
	}
	return cases
}

// runMessageCase plays one case and returns whether its message was sent.
func runMessageCase(t *testing.T, c messageCase) (reached bool) {
	t.Run(c.String(), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { _, reached = runPlay(t, scenarios[c.scenario], c.message, c.fault) })
		if t.Failed() {
			t.Logf("message %d, %s, fault %s; again with -run '^TestLostMessages$' -args -lost-case '%s' -trace", c.position, c.message, c.fault, c)
		}
	})
	return reached
}

// parseCase returns the case with the name of its subtest.
func parseCase(t *testing.T, name string) messageCase {
	var c messageCase
	parts := strings.Split(name, "/")
	if len(parts) != 5 || scenarios[parts[0]].events == nil {
		t.Fatalf("not a case: %s", name)
	}
	from, to, _ := strings.Cut(parts[1], ">")
	c.scenario, c.fault = parts[0], faultKind(parts[4])
	c.message = messageKey{from: from, to: to, kind: parts[2]}
	if _, err := fmt.Sscan(parts[3], &c.message.number); err != nil {
		t.Fatal(err)
	}
	return c
}
