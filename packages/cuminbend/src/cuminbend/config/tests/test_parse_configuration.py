"""Tests of parsing and validating the operator file."""

import random

import pytest

from cuminbend.config import (
    Configuration,
    DataCentreConfig,
    MemberConfig,
    Preference,
    ServiceConfig,
    ServiceMode,
    WithoutQuorum,
    parse_configuration,
)
from cuminbend.exceptions import ConfigurationError

EXAMPLE = """\
[cluster]
name = "eu-west-ie"        # [comments] may look like = tables
without_quorum = "search"

[[data_centres]]
name = "dc1"
[[data_centres]]
name = "dc2"
in_service = false

[[members]]
name = "tresscommon"
share = 2
[[members]]
name = "coulisse"
prefer = "coverage"
default_deadline_ms = 250

[[services]]
name = "fitroom"
group = "rooms"
members = [
  "tresscommon", # ]
  "coulisse",
]
[services.shards]
p1 = 20
"p2" = 40

[[services]]
name = "chairbook"
mode = "submit"
shards = { p1 = 1 }
max_body_bytes = 1_024
"""

INSERTED_TEXTS = [
    *"[]{}\"'#=.,\\\n\r\0\ta1\ufeff",
    *('"""', "''" + "'", "''" * 3, "inf", "1979-05-27", "[[services]]", "p=[1,\n2,]"),
    *("[services.shards]", '[a."b".c]', "\"k\".'l'=2", "t={a.b='}'}"),
]


def parse_problems(text):
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(text)
    return caught.value.problems


def test_valid_file():
    # Guards against a field of the file that does not reach the data classes.
    configuration = parse_configuration(EXAMPLE)
    assert configuration == Configuration(
        cluster="eu-west-ie",
        without_quorum=WithoutQuorum.SEARCH,
        data_centres=(DataCentreConfig("dc1"), DataCentreConfig("dc2", False)),
        members=(
            MemberConfig("tresscommon", share=2.0),
            MemberConfig(
                "coulisse", prefer=Preference.COVERAGE, default_deadline_ms=250
            ),
        ),
        services=(
            ServiceConfig(
                "fitroom",
                "rooms",
                ServiceMode.SEARCH,
                {"p1": 20, "p2": 40},
                ("tresscommon", "coulisse"),
            ),
            ServiceConfig(
                "chairbook",
                "chairbook",
                ServiceMode.SUBMIT,
                {"p1": 1},
                max_body_bytes=1024,
            ),
        ),
    )
    assert configuration.data_centres_in_service == {"dc1"}
    assert [service.name for service in configuration.resolve_target("rooms")] == [
        "fitroom"
    ]
    assert configuration.resolve_target("nothing") == ()


@pytest.mark.parametrize("newline", ["\n", "\r\n"])
@pytest.mark.parametrize(
    ("old", "new", "line_marker", "message"),
    [
        # Malformed TOML.
        ('"dc2"', "dc2", "= dc2", "not valid TOML"),
        ("1_024", "", "max_body_bytes", "not valid TOML"),
        ("1_024\n", '"""', '"""', "not valid TOML"),
        ("1_024\n", "9" * 5000, "999", "not valid TOML"),
        ("1_024", "[" * 100_000, "[[[", "arrays and tables are nested"),
        ("p1 = 20", "a." * 20_000 + "a = 1", "[cluster]", "a key has more than"),
        ("p1 = 20", '"a".' * 20_000 + "a = 1", "[cluster]", "a key has more than"),
        ("p1 = 20", '"' + '\\"' * 200_000, '\\"', "not valid TOML"),
        ("p1 = 20", "a" * 1_000_000, "aaa", "not valid TOML"),
        ("[[members]]", "[cluster]\n[[members]]", "[cluster]", "not valid TOML"),
        # Unknown, missing and mistyped keys.
        ("share = 2", "shares = 2", "shares", "members.0.shares: unknown key"),
        ("[cluster]", "[clusters]", "[clusters]", "clusters: unknown key"),
        ("[cluster]", "[clusters]", "[clusters]", "cluster: this key is missing"),
        ("[cluster]", "extra = 1\n[cluster]", "extra", "extra: unknown key"),
        (
            '[[data_centres]]\nname = "dc2"',
            "[[data_centres]] # here",
            "# here",
            "data_centres.1.name: this key is missing",
        ),
        (
            "shards = { p1 = 1 }",
            "",
            "[[services]]",
            "services.1.shards: this key is missing",
        ),
        ("{ p1 = 1 }", "{}", "shards = {}", "services.1.shards: "),
        ("{ p1 = 1 }", "{ p1 = 1, p2 = 0 }", "p2 = 0", "services.1.shards.p2: "),
        ("{ p1 = 1 }", "{ P = 1 }", "P = 1", "services.1.shards.P.[key]: "),
        ('"p2" = 40', '"p2" = 0', '"p2"', "services.0.shards.p2: "),
        ("p1 = 20", "p1 = true", "true", "services.0.shards.p1: "),
        ('"coulisse",', '"Coulisse",', "Coulisse", "services.0.members.1: "),
        ("share = 2", 'share = "2"', "share", "members.0.share: "),
        ("share = 2", "share = inf", "share", "members.0.share: "),
        ("share = 2", "share = nan", "share", "members.0.share: "),
        ("share = 2", "share = 0", "share", "members.0.share: "),
        ("= false", "= 0", "in_service", "data_centres.1.in_service: "),
        ("1_024", "1024.0", "1024.0", "services.1.max_body_bytes: "),
        ('"search"', '"maybe"', "maybe", "cluster.without_quorum: "),
        ('"submit"', '"both"', "both", "services.1.mode: "),
        # Keys in other spellings.
        ("{ p1 = 1 }", "{ p1 = 0 }", "p1 = 0", "services.1.shards.p1: "),
        ("shards = {", "shards.p0 = 0 # {", "p0", "services.1.shards.p0: "),
        (
            "[services.shards]",
            '[ "services" . shards ]\nq = 0',
            "q = 0",
            "services.0.shards.q: ",
        ),
        ("share = 2", "'share' = 0", "share", "members.0.share: "),
        # Strings and comments that look like tables and keys.
        (
            "share = 2",
            'prefer = """\n[[members]]\nshare = 1 # ]"""\nshare = 0',
            "share = 0",
            "members.0.share: ",
        ),
        ("share = 2", "# [[members]]\nshare = 0", "share", "members.0.share: "),
        ('"tresscommon", #', '"tresscommon", # \'\n7, #', "7,", "services.0.members.1"),
        ('"eu-west-ie" ', "'x\\'\nx = \"[\" ", "x = ", "cluster.x: unknown key"),
        ("share = 2", "share = 2 # \u2028\nx = 1", "x = 1", "members.0.x: "),
        # Checks between tables.
        ('"dc2"', '"dc1"', '"dc1"', "data_centres.1: the name 'dc1' stands twice"),
        (
            'name = "coulisse"',
            'name = "tresscommon"',
            'name = "tresscommon"',
            "members.1: the name",
        ),
        (
            '"chairbook"',
            '"fitroom"',
            '"fitroom"',
            "services.1: the name 'fitroom' stands twice",
        ),
        ('"coulisse",', '"nobody",', "members = [", "services.0: member 'nobody' is"),
        (
            "= 250",
            "= 250\nmax_deadline_ms = 9",
            "default_deadline_ms",
            "members.1: default_deadline_ms is above",
        ),
        ('"rooms"', '"chairbook"', "group", "services.0: group 'chairbook' is also"),
        (
            "mode",
            'group = "rooms"\nmode',
            "[[services]]",
            "services.1: all services of group",
        ),
    ],
)
def test_problem_has_line(old, new, line_marker, message, newline):
    # Guards against a fault that is accepted, or reported at a wrong line. The expected
    # line is the last one that contains ``line_marker``.
    assert old in EXAMPLE
    text = EXAMPLE.replace(old, new, 1)
    line = text.count("\n", 0, text.rindex(line_marker)) + 1
    problems = parse_problems(text.replace("\n", newline))
    expected = f"line {line}: {message}"
    assert any(problem.startswith(expected) for problem in problems), problems


def test_lines_in_arrays_of_inline_tables():
    # Guards against the line of a wrong element when tables are written as an array.
    text = """\
cluster = { name = "one" }
data_centres = [
  { name = "dc1" },
  # { name = "dc2" },
  { name = "dc3", in_service = 1 },
]
members = [{ name = "m" }, { name = "N" }]
services = [ { name = "s", shards = { p = 1 }, members = [
  "m",
  "", ] } ]
"""
    assert [problem.split(": ")[:2] for problem in parse_problems(text)] == [
        ["line 5", "data_centres.1.in_service"],
        ["line 7", "members.1.name"],
        ["line 10", "services.0.members.1"],
    ]


@pytest.mark.parametrize("seed", range(10))
def test_damaged_file_raises_only_configuration_errors(seed):
    # Guards against any other error, at which all voters would stop applying the log.
    rng = random.Random(seed)
    for _ in range(50):
        text = EXAMPLE
        for _ in range(rng.randrange(1, 6)):
            position = rng.randrange(len(text))
            removed = rng.choice([0, 0, 1, 7])
            text = (
                text[:position]
                + rng.choice(INSERTED_TEXTS)
                + text[position + removed :]
            )
        problems = []
        try:
            parse_configuration(text)
        except ConfigurationError as error:
            problems = error.problems
        assert all(problem.startswith("line ") for problem in problems)


def test_large_file_is_refused():
    # Guards against a file so large that each voter parses it for minutes.
    assert "larger than" in parse_problems("#" * (4 * 1024 * 1024 + 1))[0]
