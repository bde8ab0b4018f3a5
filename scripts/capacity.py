"""The capacity page, worked out from the benches' JSON. Used by scripts/make-pages."""

NODES = 720
REQUESTS = 6800
TOKENS = 3_400_000
BUDGETS = 16_000
ORGANISATIONS = 50_000
ENDPOINTS = 10_000
CHANGES_A_DAY = 9_800
CRASHES_A_DAY = 150
GOAL_CPU = 1.2
GOAL_MB = 128
GOAL_KB = 30


def goal(bench, part):
    """The first goal of a bench whose name contains a text."""
    for it in bench["goals"]:
        if part in it["name"]:
            return it
    raise KeyError(part)


def run(bench, **wanted):
    for it in bench["runs"]:
        if all(it.get(k) == v for k, v in wanted.items()):
            return it
    raise KeyError(str(wanted))


def number(value):
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def data_rows(pipeline):
    many = run(pipeline, part="streams", streams=1600)
    per_token = many["cpu_ms_per_thousand_tokens"] / 1e6
    tokens = TOKENS / NODES
    streams = run(pipeline, part="streams", streams=160)
    return [
        ("accept, relay", f"{number(REQUESTS / NODES)} requests/s, 160 open streams of 500 tokens",
         f"{number(tokens)} tokens/s out", f"{number(tokens * per_token * 100)} % of a core",
         f"{number(streams['router_resident_mb'])} MB whole process at 160 streams", "none",
         "a thread for each connection (POCO); tokens flushed as they come",
         "`pipeline`: processor time per thousand tokens, memory at 160 streams"),
    ]


def control_rows(benches):
    control, configuration = benches["control"], benches["configuration"]
    line = next(it for it in control["runs"] if it.get("nodes") == "line at 720")
    at = {k: v["at"] for k, v in line.items() if isinstance(v, dict)}
    budgets = goal(benches["budgets"], "720")
    return [
        ("membership, spread, reconcilers at rest", f"{NODES - 1} members",
         f"{number(at['messages/s'])} messages/s, {number(at['KB/s'])} KB/s by the line",
         f"{number(at['CPU %'])} % of a core by the line", f"{number(at['MB'])} MB by the line",
         "see budgets and configuration",
         "probes of one member a period, news carried along, bounded entries a message",
         "`control`: lines over its fleets"),
        ("budgets and bills", f"{BUDGETS:,} budgets in 256 shards; a router holds those it serves",
         "transfers only near the end of a budget", "in the line above", "in the line above",
         f"{number(budgets['measured'])} writes/s for the fleet (goal {number(budgets['goal'])})",
         "rights held in advance, many budgets a record, one writer a router, paced by fleet size",
         "`budgets`: slope of writes by nodes"),
    ] + configuration_rows(configuration)


def configuration_rows(configuration):
    rows = []
    for it in configuration["goals"]:
        rows.append((f"configuration: {it['name']}",
                     f"{ORGANISATIONS:,} organisations, {CHANGES_A_DAY:,} changes a day", "",
                     f"{number(it['measured'])} {it['unit']} (goal {number(it['goal'])})", "", "",
                     "content-addressed chunks, one head, watch and a tree of peers",
                     "`configuration`"))
    return rows


def table(rows):
    head = ("duty", "state a node", "messages", "processor time", "memory",
            "key-value calls", "mechanism", "worked out from")
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    return lines + ["| " + " | ".join(it or " " for it in row) + " |" for row in rows]


def page(benches):
    pipeline = benches["pipeline"]
    many = run(pipeline, part="streams", streams=1600)
    stranded = goal(benches["budgets"], "stranded")
    lines = [
        "# Capacity of the daemon, from its own benches", "",
        "Made by `scripts/make-pages` from `docs/measurements/`; every figure below is recomputed from",
        "there. It is the page for the target of the users' letter: 720 nodes, 10,000 endpoints,",
        "6,800 requests/s, 3.4 million tokens/s, 16,000 budgets, 50,000 organisations, 9,800 changes of",
        "configuration a day, 150 failed and 1,400 replaced instances a day. There is one role, the",
        "router; the rows are its duties. Figures \"by the line\" are straight lines through the measured",
        "fleets, taken at 720; they are no measurement at 720.", "",
        "## A node at the peak", "",
    ]
    lines += table(data_rows(pipeline) + control_rows(benches))
    lines += [
        "", "## Against the target", "",
        "| matter | target | from the benches |", "|---|---|---|",
        f"| tokens a second one core relays | {number(TOKENS / NODES)} a node | "
        f"{number(many['tokens_per_core_second'])} |",
        f"| first token added, median | of 790 ms | "
        f"{number(goal(pipeline, 'first token')['measured'])} ms |",
    ]
    for name in ("processor time", "memory of a router", "traffic", "in force"):
        it = goal(benches["control"], name)
        lines.append(f"| {it['name']} | {number(it['goal'])} {it['unit']} | "
                     f"{number(it['measured'])} {it['unit']}{'' if it['met'] else ' — **not met**'} |")
    lines += [
        f"| rights stranded by crashes | {number(stranded['goal'])} {stranded['unit']} | "
        f"{number(stranded['measured'])} {stranded['unit']} |",
        "", NOTES,
    ]
    return "\n".join(lines) + "\n"


NOTES = """## What breaks first

1. Membership traffic: what a message carries grows with the members until its bound, so the line
   through small fleets overstates large ones; no fleet near 720 was run. If it does not flatten,
   the entries have to shrink first (short ids in place of names and addresses).
2. The key-value service: writes of budgets are paced to a share of the fleet's rate, so that what
   grows with load is the wait for a refill, not the calls: the figure at 720 nodes is largely this
   cap, and the wait at that size was not measured. Steering an organisation's callers to few
   routers keeps refills few. The bench assumes steering by shard; the address answers steer by
   organisation, and that the two come to the same was not shown.
3. A watch on the configuration's head is one waiting call a router: 720 of the service's calls, which
   take no rate while nothing changes and one answer each for a change.
4. Threads: a connection is a thread, so a node at ten times its share holds 1,600.

## How far today's design goes

The process tests run three routers and up to four engines; the benches of decisions run today's sizes
(6 to 7 routers), and the control bench real fleets of the sizes in its JSON. Between them and the
target stands what was not run: fleets over those, regions (routers know
zones only), the slopes of control by organisation and by endpoint with real processes, and an hour's
cut between regions at size."""
