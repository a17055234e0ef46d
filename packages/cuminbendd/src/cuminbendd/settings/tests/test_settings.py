"""Tests that shipped settings files are valid and that errors name a remedy."""

from pathlib import Path

import pytest
from cuminbend.config import parse_configuration
from cuminbend.exceptions import ConfigurationError

from cuminbendd.settings import load_settings

EXAMPLES = Path(__file__).parents[6] / "examples"

VALID_SETTINGS = """
instance = "entry-1"
data_centre = "limerick"
caller_address = "10.0.0.1:7080"
peer_address = "10.0.0.1:7081"
data_folder = "data"

[[voters]]
instance = "entry-1"
peer_address = "10.0.0.1:7081"
"""


@pytest.mark.parametrize("deployment", ["tresscommon", "coulisse"])
def test_shipped_deployments_are_valid(deployment):
    folder = EXAMPLES / deployment
    parse_configuration((folder / f"{deployment}.toml").read_text())
    settings = [load_settings(path) for path in sorted(folder.glob("settings/*.toml"))]
    assert len(settings) == 6
    assert len({item.peer_address for item in settings}) == 6
    assert sum(item.is_voter for item in settings) == 3


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("10.0.0.1:7080", "entry.example:7080", "is not an IP number"),
        ("10.0.0.1:7080", "10.0.0.1", "is not an IP number"),
        ("10.0.0.1:7080", "10.0.0.1:0", "has no port"),
        ("10.0.0.1:7080", "10.0.0.1:7081", "choose another port"),
        ('data_folder = "data"', "", "a voter needs one"),
        ('data_folder = "data"', "colour = 1", "Extra inputs are not permitted"),
        ('"entry-1"\npeer', '"entry-2"\npeer', "has this instance's peer_address"),
        ("[[voters]]", "[[voters]", "not valid TOML"),
    ],
)
def test_invalid_settings_are_rejected_with_a_remedy(tmp_path, old, new, message):
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS.replace(old, new))
    with pytest.raises(ConfigurationError, match=message):
        load_settings(path)
