"""Command that checks a configuration before it is published; the program that starts it passes the parser."""

import dataclasses
import json
import pathlib
import sys
from collections.abc import Callable
from typing import Any

import click
from result import Err, Ok, Result

from tamarackfield.cli.exit_codes import EXIT_BAD_INPUT, fail
from tamarackfield.core.fields import MALFORMED
from tamarackfield.gateway.catalog_check import Finding, Severity, find_faults, list_changes
from tamarackfield.gateway.model import Catalog

#: Parser of the entries; raises one of `MALFORMED` for a document that they would refuse.
CatalogParser = Callable[[dict[str, Any]], Catalog]


def make_command(parse: CatalogParser) -> click.Command:
    """Return the command for a format of the configuration."""

    @click.command('check-configuration')
    @click.argument('path')
    @click.option('--in-force', help='File with the configuration in force, for the differences.')
    @click.option('--json', 'as_json', is_flag=True, help='Print one JSON document.')
    def check_configuration(path: str, in_force: str | None, as_json: bool) -> None:
        """Check a configuration as the entries read it, for faults and for differences.

        Exit codes: 0 no error, 2 an error was found or a file could not be read.
        """
        catalog = _read_catalog(path, parse)
        findings = catalog.err_value if isinstance(catalog, Err) else find_faults(catalog.ok_value)
        changes = [] if isinstance(catalog, Err) or in_force is None else _find_changes(catalog, in_force, parse)
        click.echo(_format_json(findings, changes) if as_json else _format_text(path, findings, changes))
        if any(finding.severity is Severity.ERROR for finding in findings):
            sys.exit(EXIT_BAD_INPUT)

    return check_configuration


def find_malformed(document: dict[str, Any], parse: CatalogParser) -> list[Finding]:
    """Return the members of a document that the parser refuses; each entry of a list is parsed on its own."""
    findings = []
    for member, entries in document.items():
        for number, entry in enumerate(entries if isinstance(entries, list) else ()):
            reason = _explain_refusal(_without_lists(document) | {member: [entry]}, parse)
            if reason:
                findings.append(Finding(Severity.ERROR, f'$.{member}[{number}]', reason))
    reason = '' if findings else _explain_refusal(document, parse)
    return [*findings, Finding(Severity.ERROR, '$', reason)] if reason else findings


def _without_lists(document: dict[str, Any]) -> dict[str, Any]:
    return {member: [] if isinstance(entry, list) else entry for member, entry in document.items()}


def _explain_refusal(document: dict[str, Any], parse: CatalogParser) -> str:
    try:
        parse(document)
    except MALFORMED as exc:
        return f'{type(exc).__name__}: {exc}'
    return ''


def _read_catalog(path: str, parse: CatalogParser) -> Result[Catalog, list[Finding]]:
    try:
        document = json.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        fail(f'{path}: {exc}', EXIT_BAD_INPUT)
    if not isinstance(document, dict):
        return Err([Finding(Severity.ERROR, '$', 'configuration is not a JSON object')])
    malformed = find_malformed(document, parse)
    return Err(malformed) if malformed else Ok(parse(document))


def _find_changes(catalog: Ok[Catalog], in_force: str, parse: CatalogParser) -> list[str]:
    former = _read_catalog(in_force, parse)
    if isinstance(former, Err):
        fail(f'{in_force}: {former.err_value[0].place}: {former.err_value[0].text}', EXIT_BAD_INPUT)
    return list_changes(catalog.ok_value, former.ok_value)


def _format_json(findings: list[Finding], changes: list[str]) -> str:
    return json.dumps({'findings': [dataclasses.asdict(finding) for finding in findings], 'changes': changes}, indent=2)


def _format_text(path: str, findings: list[Finding], changes: list[str]) -> str:
    lines = [f'{finding.severity.value}: {finding.place}: {finding.text}' for finding in findings]
    return '\n'.join([*(lines or [f'{path}: no faults']), *(f'change: {change}' for change in changes)])
