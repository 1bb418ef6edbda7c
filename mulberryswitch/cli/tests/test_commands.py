"""Tests of the commands, the validation of settings, the generated pages and the examples."""

import contextlib
import io
import json
import re
import runpy
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from mulberryswitch.cli import main
from mulberryswitch.contracts import ResultCode, SettingsError, check_settings

ROOT = Path(__file__).resolve().parents[3]
SECTIONS = {
    "node": {"vm": "vm-1", "zone": "a", "fleet": "f", "key": "00" * 16},
    "peers": {"listen": "127.0.0.1:7000"},
    "fabric": {"listen": "127.0.0.1:7001", "fabric": "127.0.0.1:7002"},
    "platform": {"url": "http://127.0.0.1:7003"},
    "operator": {"listen": "127.0.0.1:7004"},
}


class SettingsTest(unittest.TestCase):
    """Checks that an invalid setting is reported rather than silently ignored."""

    def check_problem(self, section: str, key: str, value: str, code: ResultCode, text: str):
        values = {**SECTIONS, section: {**SECTIONS.get(section, {}), key: value}}
        with self.assertRaises(SettingsError) as caught:
            check_settings(values)
        (problem,) = caught.exception.exceptions
        self.assertEqual(problem.code, code)
        self.assertIn(f"[{section}] {key}", str(problem))
        self.assertIn(text, str(problem))

    def test_valid_settings_have_defaults(self):
        self.assertEqual(check_settings(SECTIONS).limits.queue, 1000)

    def test_each_problem_names_section_key_and_expectation(self):
        cases = [
            ("peers", "listen", "localhost:1", ResultCode.BAD_SETTING, "IP:PORT"),
            ("peers", "listen", "127.0.0.1:70000", ResultCode.BAD_SETTING, "65535"),
            ("platform", "url", "https://127.0.0.1:1", ResultCode.BAD_SETTING, "http://"),
            ("limits", "queue", "0", ResultCode.BAD_SETTING, "1"),
            ("logs", "level", "loud", ResultCode.BAD_SETTING, "info"),
            ("node", "colour", "red", ResultCode.UNKNOWN_SETTING, "no such"),
        ]
        for case in cases:
            with self.subTest(case[1:3]):
                self.check_problem(*case)

    def test_error_does_not_contain_the_shared_key(self):
        values = {**SECTIONS, "node": {**SECTIONS["node"], "key": "secretsecret"}}
        with self.assertRaises(SettingsError) as caught:
            check_settings(values)
        self.assertNotIn("secret", str(caught.exception.exceptions[0]))


class CommandTest(unittest.TestCase):
    """Checks the exit codes and outputs that scripts rely on."""

    def run_command(self, *args: str):
        return CliRunner().invoke(main, args)

    def write(self, text: str) -> str:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "file"
        path.write_text(text)
        return str(path)

    def test_examples_are_valid(self):
        for command, name in (
            ("check-settings", "node.ini"),
            ("check-config", "jinse-sheet.json"),
            ("check-config", "kitakaze-sheet.json"),
        ):
            with self.subTest(name):
                result = self.run_command(command, str(ROOT / "examples" / name))
                self.assertEqual(result.exit_code, 0, result.output)

    def test_refused_sheet_names_every_item_with_its_code(self):
        sheet = json.loads((ROOT / "examples" / "jinse-sheet.json").read_text())
        sheet["services"][0]["targets"][0]["zone"] = "nowhere"
        sheet["services"][1]["addresses"] = sheet["services"][0]["addresses"]
        path = self.write(json.dumps(sheet))
        result = self.run_command("check-config", path, "--output", "json")
        self.assertEqual(result.exit_code, 1)
        codes = {problem["code"] for problem in json.loads(result.output)["problems"]}
        self.assertEqual(codes, {ResultCode.DUPLICATE_ADDRESS, ResultCode.UNKNOWN_ZONE})

    def test_wrong_settings_file_exits_with_1(self):
        for text in ("[node]\nvm = a b\n", "no section", "[node\n"):
            with self.subTest(text):
                self.assertEqual(self.run_command("check-settings", self.write(text)).exit_code, 1)

    def test_missing_file_is_an_error_not_a_traceback(self):
        for command in ("check-settings", "check-config"):
            result = self.run_command(command, "/nonexistent/file")
            self.assertEqual(result.exit_code, 1)
            self.assertNotIn("Traceback", result.output)

    def test_vm_that_does_not_answer_exits_with_3(self):
        for args in (("status",), ("drain",), ("explain", "00", "--address", "10.0.0.1:1")):
            with self.subTest(args):
                result = self.run_command(*args, "--operator", "127.0.0.1:9")
                self.assertEqual(result.exit_code, 3)
                self.assertIn("127.0.0.1:9", result.output)


class DocumentationTest(unittest.TestCase):
    """Checks that the pages match the code."""

    def test_result_codes_page_lists_exactly_the_enumeration(self):
        page = (ROOT / "docs" / "result-codes.md").read_text()
        listed = re.findall(r"^\| (\d+) \| `([A-Z_]+)` \|", page, re.MULTILINE)
        self.assertEqual(listed, [(str(int(code)), code.name) for code in ResultCode])

    def test_settings_page_is_up_to_date(self):
        script = ROOT / "tools" / "build_references.py"
        result = subprocess.run([sys.executable, str(script), "--check"], cwd=ROOT, check=False)
        self.assertEqual(result.returncode, 0)

    def test_link_targets_between_pages_exist(self):
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_embedding_examples_run(self):
        for path in sorted((ROOT / "examples").glob("*.py")):
            with self.subTest(path.name), contextlib.redirect_stdout(io.StringIO()) as output:
                runpy.run_path(str(path), run_name="__main__")
                self.assertTrue(output.getvalue())
