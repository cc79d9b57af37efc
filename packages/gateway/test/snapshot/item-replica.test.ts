import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ItemReplica} from '../../src/snapshot/item-replica.js';
import type {PublishedChanges} from '../../src/snapshot/snapshot-source.js';
import {
	decodeTestItem,
	makeChanges,
	makeRemoval,
	makeUpdate,
} from '../fixtures.js';

function makeReplica(): ItemReplica {
	return new ItemReplica({
		decode: decodeTestItem,
		onUnreadable: () => undefined,
	});
}

function getTargets(replica: ItemReplica): string {
	return [...replica.getSnapshot().targets.keys()].toSorted().join(' ');
}

describe('ItemReplica', () => {
	describe('apply', () => {
		function doTest(
			name: string,
			input: readonly PublishedChanges[],
			expected: string,
		): void {
			it(name, () => {
				const replica = makeReplica();
				for (const changes of input) {
					replica.apply(changes, undefined);
				}

				assert.is(getTargets(replica), expected);
			});
		}

		const fullRead = makeChanges(
			5,
			[makeUpdate('a', 4), makeUpdate('b', 5)],
			true,
		);
		doTest('applies a full read', [fullRead], 'a b');
		doTest(
			'applies a removal',
			[fullRead, makeChanges(6, [makeRemoval('a', 6)])],
			'b',
		);
		doTest(
			'ignores changes of an older revision',
			[
				fullRead,
				makeChanges(7, [makeRemoval('a', 7)]),
				makeChanges(6, [makeUpdate('a', 6)]),
			],
			'b',
		);
		doTest(
			'removes items that a full read lacks',
			[fullRead, makeChanges(9, [makeUpdate('b', 5)], true)],
			'b',
		);
		doTest(
			'ignores a full read of an older revision',
			[
				fullRead,
				makeChanges(6, [makeUpdate('c', 6)]),
				makeChanges(5, [], true),
			],
			'a b c',
		);
		doTest(
			'drops a target whose item cannot be decoded, and keeps the others',
			[fullRead, makeChanges(6, [makeUpdate('a', 6, 'broken')])],
			'b',
		);

		it('ignores a plan of an older version', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(1, [makeUpdate('plan', 1, '7')]), undefined);
			replica.apply(makeChanges(2, [makeUpdate('plan', 2, '5')]), undefined);
			assert.is(replica.getSnapshot().plan?.version, 7);
		});
	});

	describe('removed targets that may register again', () => {
		it('are kept until the retention ends', () => {
			const replica = makeReplica();
			replica.apply(
				makeChanges(1, [makeUpdate('a', 1), makeUpdate('b', 1)]),
				undefined,
			);
			replica.apply(makeChanges(2, [makeRemoval('a', 2)]), 1000);
			assert.is(getTargets(replica), 'a b');
			replica.removeExpired(999);
			assert.is(getTargets(replica), 'a b');
			replica.removeExpired(1000);
			assert.is(getTargets(replica), 'b');
		});

		it('stay once they have registered again', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(1, [makeUpdate('a', 1)]), undefined);
			replica.apply(makeChanges(2, [makeRemoval('a', 2)]), 1000);
			replica.apply(makeChanges(3, [makeUpdate('a', 3)]), 1000);
			replica.removeExpired(2000);
			assert.is(getTargets(replica), 'a');
		});
	});

	describe('getChangesAfter', () => {
		it('returns only the changes that a peer has not seen', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(5, [makeUpdate('a', 4)], true), undefined);
			replica.apply(makeChanges(7, [makeUpdate('b', 7)]), undefined);
			const {isWhole, changes} = replica.getChangesAfter({era: 0, revision: 5});
			assert.is(isWhole, false);
			assert.equal(
				changes.map(({name}) => name),
				['b'],
			);
		});

		it('returns all items if the change log does not reach back', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(5, [makeUpdate('a', 4)], true), undefined);
			assert.is(replica.getChangesAfter({era: 0, revision: 3}).isWhole, true);
			assert.is(replica.getChangesAfter(undefined).changes.length, 1);
		});
	});
});
