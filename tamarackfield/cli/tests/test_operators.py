"""Operators' commands against a running deployment."""

import asyncio
import json
import sys

from tamarackfield.testing.cluster import OPERATOR_TOKEN, Cluster, TargetSpec, address, make_bundle
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch_json

CHAT = {'model': 'draft@v1', 'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 1}


async def run(*arguments):
    """Run ``tamarackfield`` and return its exit code, output and errors."""
    command = (sys.executable, '-m', 'tamarackfield.cli.main', *arguments)
    process = await asyncio.create_subprocess_exec(*command, stdout=-1, stderr=-1)
    output, errors = await process.communicate()
    assert b'Traceback' not in errors
    return process.returncode, output.decode(), errors.decode()


async def test_commands_against_running_processes(tmp_path):
    bundle = make_bundle(('clinic', 'stranger'), ('draft@v1',))
    bundle['adapters']['draft']['grants'] = {'clinic': 3}
    async with Cluster(tmp_path, [TargetSpec('engine-1')], 1, bundle) as cluster:
        entry = address(cluster.ports['entry-1-operations'])
        sidecar = address(cluster.ports['engine-1-sidecar-operations'])
        await check_status(entry, sidecar)
        await check_explained_requests(cluster, entry)
        await check_explained_routes(entry)
        await check_drain_and_audit(sidecar)
        code, output, _ = await run('status', entry)
        assert code == 0
        assert 'targets=0/1 unusable=engine-1' in output


async def check_status(entry, sidecar):
    """Check the table and its JSON form."""
    unused_address = address(reserve_port())
    code, output, _ = await run('status', entry, sidecar, unused_address)
    lines = output.splitlines()
    assert code == 4
    columns = ['ADDRESS', 'ROLE', 'INSTANCE', 'READY', 'DRAINING', 'BUNDLE', 'BEHIND', 'SINCE', 'FROM', 'WORK']
    assert lines[0].split() == columns
    assert lines[1].split()[:7] == [entry, 'entry', 'entry-1', 'yes', 'no', '1', '0']
    assert lines[2].split()[1:7] == ['sidecar', 'engine-1-sidecar', 'yes', 'no', '1', '0']
    assert 'unreachable: connect' in lines[3]
    code, output, _ = await run('status', entry, '--json')
    assert (code, json.loads(output)[entry]['role']) == (0, 'entry')


async def check_explained_requests(cluster, entry):
    """Check the explanations of an answered, a refused and an unknown request."""
    url = (HOST, cluster.ports['entry-1'])
    for key, request_id in (('key-clinic', 'served'), ('key-stranger', 'denied')):
        headers = [('Authorization', f'Bearer {key}'), ('X-Request-Id', request_id)]
        await fetch_json(url, 'POST', '/v1/chat/completions', CHAT, headers)
    code, output, _ = await run('explain', entry, '--request', 'served')
    assert code == 0
    assert output.startswith('answered: ')
    assert [line.split()[0] for line in output.splitlines()[1:]] == ['read', 'submit', 'head', 'end']
    assert 'target=engine-1' in output
    assert 'load_stall_ms=' in output
    code, output, _ = await run('explain', entry, '--request', 'denied')
    assert code == 5
    assert output.startswith('refused: no_grant, not_run, step authorize: stranger may not use draft')
    code, output, _ = await run('explain', entry, '--request', 'never-seen')
    assert (code, output.startswith('unknown: ')) == (5, True)


async def check_explained_routes(entry):
    """Check the explanation of how a request would be routed now."""
    code, output, _ = await run('explain', entry, '--model', 'draft@v1', '--caller', 'clinic', '--json')
    answer = json.loads(output)
    assert (code, answer['verdict'], answer['summary']) == (0, 'routed', 'would go to engine-1')
    candidate = answer['steps'][2]
    assert (candidate['target'], candidate['state'], candidate['holds_adapter']) == ('engine-1', 'usable', True)
    for model, caller, text in (
        ('draft@v9', 'clinic', 'model_not_found'),
        ('draft', 'clinic', 'bad_model'),
        ('draft@v1', 'stranger', 'no_grant'),
        ('draft@v1', 'nobody', 'invalid_api_key'),
    ):
        code, output, _ = await run('explain', entry, '--model', model, '--caller', caller)
        assert (code, output.startswith(f'refused: {text}: ')) == (5, True)


async def check_drain_and_audit(sidecar):
    """Check that a drain requires the token and is recorded in the audit trail."""
    code, _, errors = await run('drain', sidecar, '--token', 'wrong')
    assert (code, 'the operators token is missing or wrong' in errors) == (4, True)
    code, _, _ = await run('drain', sidecar, '--token', OPERATOR_TOKEN)
    assert code == 0
    code, output, _ = await run('audit', sidecar)
    assert code == 0
    assert 'action=bundle_accepted' in output
    assert 'action=drain reason=operator' in output
    code, output, _ = await run('audit', sidecar, '--since', '1', '--json')
    assert [change['sequence'] for change in json.loads(output)][0] == 2
