"""What the runner makes of KNOWN-RED.txt."""

import pathlib
import tempfile
import unittest

from tests import known_red
from tests.known_red import BadFile, Known

ROW = "tests.a.B.test_c | the host's answer is lost | issue 7\n"
ONE = Known("tests.a.B.test_c", "the host's answer is lost", "issue 7")


class KnownRed(unittest.TestCase):
    """Just the listed tests are passed over, and only while they fail."""

    def test_read(self):
        self.assertEqual(known_red.read("\n" + ROW), [ONE])
        self.assertEqual(known_red.read(""), [])
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(known_red.load(pathlib.Path(folder) / "KNOWN-RED.txt"), [])

    def test_out_of_form(self):
        four = "".join(ROW.replace("test_c", f"test_{number}") for number in range(4))
        for text, told in (
            (four, "3 lines at most"),
            (ROW * 2, "again"),
            ("a | | b\n", "expected 'TEST"),
            ("tests.a.B.test_c | no issue\n", "expected 'TEST"),
        ):
            with self.assertRaisesRegex(BadFile, told):
                known_red.read(text)

    def test_passed_over(self):
        ran = ["tests.a.B.test_c", "tests.a.B.test_d", "tests.a.B.test_e"]
        self.assertEqual(
            known_red.judged([ONE], ran, ran[:1]),
            (2, 0, ["known red: tests.a.B.test_c: the host's answer is lost (issue 7)"]),
        )
        self.assertEqual(known_red.judged([ONE], ran, ran[:2])[:2], (1, 1))  # another one fails
        self.assertEqual(known_red.judged([], ran, ran[:1])[:2], (2, 1))

    def test_passes_though_listed(self):
        passed, failed, said = known_red.judged([ONE], ["tests.a.B.test_c", "tests.a.B.test_d"], [])
        self.assertEqual((passed, failed), (1, 1))
        self.assertIn("tests.a.B.test_c passes", said[0])
        self.assertEqual(
            known_red.judged([ONE], ["tests.z.test_z"], []), (1, 0, [])
        )  # it is of another group

    def test_exists(self):
        names = known_red.names_of(unittest.defaultTestLoader.loadTestsFromTestCase(KnownRed))
        self.assertIn("tests.unit.test_known_red.KnownRed.test_exists", names)
        self.assertEqual(known_red.missing([Known(names[0], "", "")], names), [])
        self.assertEqual(len(known_red.missing([ONE], names)), 1)

    def test_parts_are_of_their_test(self):
        case = KnownRed("test_read")
        result = unittest.TestResult()

        def body():
            with case.subTest(seed=1):
                case.fail()

        case.test_read = body
        case.run(result)
        self.assertEqual(
            [known_red.name_of(test) for test, _ in result.failures],
            ["tests.unit.test_known_red.KnownRed.test_read"],
        )
