"""Summarizes the results of a run; fails unless all failures are known.

    python summarize.py nose2-junit.xml KNOWN-RED.txt demo=0

Other commands that were run are given as NAME=EXIT_STATUS. A line of
KNOWN-RED.txt that starts with ``test:`` names a test that may fail.
"""

import pathlib
import sys
import xml.etree.ElementTree as element_tree


def read_known(path: pathlib.Path) -> set[str]:
    """Return the names of the tests that may fail."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix('test:').split()[0]
        for line in lines
        if line.startswith('test:')
    }


def main() -> int:
    """Print the summary; returns 1 if a failure is not a known one."""
    results = pathlib.Path(sys.argv[1])
    known = read_known(pathlib.Path(sys.argv[2]))
    if not results.exists():
        print('no test result was written')
        return 1
    passed = 0
    failed = []
    seen = set()
    for case in element_tree.parse(results).iter('testcase'):
        name = f'{case.get("classname")}.{case.get("name")}'
        seen.add(case.get('classname').partition('.')[0])
        if case.find('failure') is None and case.find('error') is None:
            passed += 1
        else:
            failed.append(name)
    for command in sys.argv[3:]:
        name, _, exit_status = command.partition('=')
        if exit_status == '0':
            passed += 1
        else:
            failed.append(name)
    for module in sorted(list_modules() - seen):
        failed.append(f'{module}: none of its tests was run')
    unknown = [name for name in failed if not _is_known(name, known)]
    for name in failed:
        status = 'FAILED' if name in unknown else 'known red'
        print(f'{status}: {name}')
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if unknown or not passed else 0


def list_modules() -> set[str]:
    """Return the names of all test modules of the repository."""
    root = pathlib.Path(__file__).parents[1]
    return {
        path.stem
        for folder in ('packages', 'platform')
        for path in (root / folder).glob('**/tests/test_*.py')
    }


def _is_known(name: str, known: set[str]) -> bool:
    return any(name.endswith(entry) for entry in known)


if __name__ == '__main__':
    sys.exit(main())
