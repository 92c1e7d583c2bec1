"""Help, version and exit codes of every program; invalid files."""

import importlib
import json
import socket
import subprocess
import sys

import pytest
import trustme
from click import Group
from click.testing import CliRunner

from tamarackfield.cli.main import main
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle

PROGRAMS = {
    'tamarackfield': 'tamarackfield.cli.main',
    'tamarackfield-entry': 'tamarackfield.entry.main',
    'tamarackfield-sidecar': 'tamarackfield.sidecar.main',
    'tamarackfield-standin': 'tamarackfield.testing.main',
}
STANDIN = ('tamarackfield.testing.main', 'engine')


@pytest.fixture
def cluster(tmp_path):
    """Return a deployment that is not started."""
    return Cluster(tmp_path, [TargetSpec('engine-1')], 1, make_bundle(('clinic',), ('draft@v1',)))


@pytest.fixture
def settings(cluster, tmp_path):
    """Write the settings of an entry and a sidecar; return their paths by program."""
    paths = {}
    for program, name in (('entry', 'entry-1'), ('sidecar', 'engine-1-sidecar')):
        paths[program] = tmp_path / f'{program}.json'
        paths[program].write_text(json.dumps(cluster.processes[name].settings))
    return paths


def run_program(module, *arguments):
    """Run a program to its end; return exit code, output and errors."""
    completed = subprocess.run([sys.executable, '-m', module, *arguments], capture_output=True, text=True, timeout=60)
    assert 'Traceback' not in completed.stderr
    return completed.returncode, completed.stdout, completed.stderr


def invoke(*arguments):
    """Run an operators' command in this process; return exit code and everything that it printed."""
    completed = CliRunner().invoke(main, arguments)
    assert completed.exception is None or isinstance(completed.exception, SystemExit)
    return completed.exit_code, completed.output


@pytest.mark.parametrize('name', PROGRAMS)
def test_help_and_version(name):
    module = importlib.import_module(PROGRAMS[name])
    runner = CliRunner()
    help_result = runner.invoke(module.main, ['--help'])
    version_result = runner.invoke(module.main, ['--version'])
    assert (help_result.exit_code, version_result.exit_code) == (0, 0)
    assert 'Example' in help_result.output or 'Commands:' in help_result.output
    assert '0.1.0' in version_result.output


def list_commands(group, names=()):
    """Yield the words and the command of each command that is not a group."""
    for name, command in group.commands.items():
        if isinstance(command, Group):
            yield from list_commands(command, (*names, name))
        else:
            yield (*names, name), command


@pytest.mark.parametrize('words', [' '.join(words) for words, _ in list_commands(main)])
def test_every_command_has_an_example(words):
    code, output = invoke(*words.split(), '--help')
    assert code == 0
    assert f'Example: tamarackfield {words} ' in output


@pytest.mark.parametrize('program', ['entry', 'sidecar'])
def test_exit_codes_of_programs(settings, program):
    module = PROGRAMS[f'tamarackfield-{program}']
    path = str(settings[program])
    code, _, errors = run_program(module, '--settings', path, '--set', 'zone=7', '--set', 'nonsense=1')
    assert (code, errors.count('\n')) == (2, 1)
    assert errors.startswith('bad settings: $: ')
    assert '$.zone: 7 is not' in errors
    with socket.create_server(('127.0.0.1', 0)) as taken:
        code, _, errors = run_program(module, '--settings', path, '--set', f'listen.port={taken.getsockname()[1]}')
    assert (code, errors.count('\n')) == (3, 1)
    assert errors.startswith('cannot start: $.listen: ')
    assert 'the port is in use' in errors


def test_exit_codes_of_the_standin():
    code, _, errors = run_program(*STANDIN)
    assert (code, errors) == (2, "bad settings: $: 'listen' is a required property\n")
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        code, _, errors = run_program(*STANDIN, '--set', 'listen.host=127.0.0.1', '--set', f'listen.port={port}')
    assert (code, errors.count('\n')) == (3, 1)


def test_check_detects_the_kind_of_a_file(settings, cluster, tmp_path):
    bundle = tmp_path / 'bundle.json'
    bundle.write_text(json.dumps({**cluster.document, 'number': 1}))
    for kind, path in {**settings, 'bundle': bundle}.items():
        assert invoke('check', str(path)) == (0, f'{path}: good {kind}\n')


def test_check_finds_ports_in_use_and_duplicate_ports(settings):
    document = json.loads(settings['entry'].read_text())
    with socket.create_server(('127.0.0.1', 0)) as taken:
        document['listen']['port'] = taken.getsockname()[1]
        settings['entry'].write_text(json.dumps(document))
        code, output = invoke('check', str(settings['entry']))
    assert (code, '$.listen: ' in output, 'the port is in use' in output) == (3, True, True)
    document['operations']['listen'] = document['listen']
    settings['entry'].write_text(json.dumps(document))
    code, output = invoke('check', str(settings['entry']))
    assert (code, '$.listen: ' in output, 'is named twice' in output) == (3, True, True)


def test_check_finds_missing_and_mismatched_key_files(settings, tmp_path):
    document = json.loads(settings['entry'].read_text())
    files = {name: str(tmp_path / name) for name in ('certificate', 'key', 'authority')}
    document['peer_security'] = {'mode': 'mutual-tls', **files}
    settings['entry'].write_text(json.dumps(document))
    code, output = invoke('check', str(settings['entry']))
    assert code == 2
    assert all(f'$.peer_security.{name}: ' in output for name in files)
    authority = trustme.CA()
    authority.cert_pem.write_to_path(files['authority'])
    authority.issue_cert('127.0.0.1').cert_chain_pems[0].write_to_path(files['certificate'])
    authority.issue_cert('127.0.0.1').private_key_pem.write_to_path(files['key'])
    code, output = invoke('check', str(settings['entry']))
    assert (code, '$.peer_security: certificate, key and authority do not fit' in output) == (2, True)


@pytest.mark.parametrize('content', ['', '[]', '{"a": ', '[' * 100_000, '"text"', '\x00'])
def test_invalid_files_give_one_error_line(tmp_path, content):
    path = tmp_path / 'bad.json'
    path.write_text(content)
    for arguments in (('check',), ('bundle', 'verify'), ('bundle', 'show')):
        code, output = invoke(*arguments, str(path))
        assert (code, output.count('\n')) == (2, 1)
        assert output.startswith(f'{path}: $')


def test_mistakes_of_operators_give_documented_exit_codes(cluster, tmp_path):
    bundle = tmp_path / 'bundle.json'
    bundle.write_text(json.dumps({**cluster.document, 'number': 1}))
    key = tmp_path / 'signing.key'
    assert invoke('bundle', 'keygen', str(key))[0] == 0
    assert invoke('bundle', 'keygen', str(key))[0] == 2
    out = tmp_path / 'out'
    assert invoke('bundle', 'sign', str(bundle), '--key', str(key), '--out', str(out))[0] == 0
    assert invoke('bundle', 'sign', str(bundle), '--key', str(key), '--out', str(key))[0] == 2
    for content in (b'', b'not base64!', b'c2hvcnQ=', b'\xff\xfe'):
        key.write_bytes(content)
        code, output = invoke('bundle', 'sign', str(bundle), '--key', str(key), '--out', str(out))
        assert (code, output.startswith(f'{key}: not a signing key: ')) == (2, True)
    for address in ('localhost:9001', '127.0.0.1', '127.0.0.1:99999', '127.0.0.1:x', ''):
        for arguments in (('status',), ('audit',), ('drain', '--token', 't'), ('explain', '--request', 'r')):
            code, output = invoke(*arguments, address)
            assert (code, 'is not an IP number with a port' in output) == (2, True)
    assert invoke('drain', '127.0.0.1:1', '--token', 'two\nlines')[0] == 4
    assert invoke('audit', '127.0.0.1:1', '--since', '-1')[0] == 2
    assert invoke('explain', '127.0.0.1:1')[0] == 2
    assert invoke('status', '127.0.0.1:1')[0] == 4


def test_examples_of_commands_on_files_run_as_printed(settings, cluster, tmp_path, monkeypatch):
    for number, name in ((6, 'bundle'), (7, 'bundle-7'), (8, 'bundle-8')):
        (tmp_path / f'{name}.json').write_text(json.dumps({**cluster.document, 'number': number}))
    monkeypatch.chdir(settings['entry'].parent)
    commands = {' '.join(words): command for words, command in list_commands(main)}
    order = ('bundle keygen', 'bundle verify', 'bundle sign', 'bundle diff', 'bundle show', 'check')
    outputs = {}
    for name in order:
        example = commands[name].help.partition('Example: tamarackfield ')[2].splitlines()[0]
        code, output = invoke(*example.split())
        assert (name, code) == (name, 0)
        outputs[name] = output
    assert outputs['bundle diff'] == '$.number: 7 -> 8\n'
    assert json.loads(outputs['bundle show'])['number'] == 6
    assert len(list((tmp_path / 'published').rglob('*'))) > 1
