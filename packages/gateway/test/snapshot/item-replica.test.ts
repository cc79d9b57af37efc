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

	describe('apply, after the store has come back from an older copy', () => {
		function doTest(
			name: string,
			input: readonly PublishedChanges[],
			expected: {readonly targets: string; readonly revision: number},
		): void {
			it(name, () => {
				const replica = makeReplica();
				for (const changes of input) {
					replica.apply(changes, undefined);
				}

				assert.is(getTargets(replica), expected.targets);
				assert.is(replica.revision, expected.revision);
			});
		}

		const isWhole = true;
		const before = makeChanges(
			90,
			[makeUpdate('a', 4), makeUpdate('b', 90)],
			isWhole,
			1,
		);
		const restored = makeChanges(50, [makeUpdate('c', 20)], isWhole, 2);
		doTest(
			'replaces all items, although revisions went back',
			[before, restored],
			{
				targets: 'c',
				revision: 50,
			},
		);
		doTest(
			'ignores changes of the new era without a full read',
			[before, makeChanges(91, [makeUpdate('c', 91)], false, 2)],
			{targets: 'a b', revision: 90},
		);
		doTest(
			'ignores a late full read and late changes of the former era',
			[
				before,
				restored,
				before,
				makeChanges(95, [makeUpdate('d', 95)], false, 1),
			],
			{targets: 'c', revision: 50},
		);
		doTest(
			'tells eras apart whose revisions are equal by accident',
			[before, makeChanges(90, [makeUpdate('a', 4)], isWhole, 2)],
			{targets: 'a', revision: 90},
		);
		doTest(
			'follows an era that has risen twice',
			[before, makeChanges(7, [makeUpdate('b', 7)], isWhole, 3)],
			{targets: 'b', revision: 7},
		);
		doTest(
			'applies a revision that is given out again',
			[before, restored, makeChanges(90, [makeUpdate('b', 90)], false, 2)],
			{targets: 'b c', revision: 90},
		);

		it('sends all items to a host of another era', () => {
			const replica = makeReplica();
			replica.apply(before, undefined);
			replica.apply(restored, undefined);
			replica.apply(
				makeChanges(51, [makeUpdate('d', 51)], false, 2),
				undefined,
			);
			const changes = replica.getChangesAfter({era: 1, revision: 90});
			assert.is(changes.isWhole, true);
			assert.is(changes.era, 2);
			assert.equal(
				changes.changes.map(({name}) => name),
				['c', 'd'],
			);
			const newer = replica.getChangesAfter({era: 2, revision: 50});
			assert.is(newer.isWhole, false);
			assert.equal(
				newer.changes.map(({name}) => name),
				['d'],
			);
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

		// Guards against a change log that fills the memory with former versions of a large plan.
		it('keeps large changes up to a total size', () => {
			const replica = makeReplica();
			const largeText = 'x'.repeat(900_000);
			replica.apply(makeChanges(5, [makeUpdate('a', 5)], true), undefined);
			for (let revision = 6; revision <= 10; revision++) {
				const change = makeUpdate('a', revision, largeText);
				replica.apply(makeChanges(revision, [change]), undefined);
			}

			const isWhole = (revision: number) =>
				replica.getChangesAfter({era: 0, revision}).isWhole;
			assert.is(isWhole(7), true);
			assert.is(isWhole(8), false);
			assert.is(
				replica.getChangesAfter({era: 0, revision: 8}).changes.length,
				2,
			);
		});

		it('keeps the newest change whatever its size', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(5, [makeUpdate('a', 5)], true), undefined);
			const change = makeUpdate('a', 6, 'x'.repeat(9_000_000));
			replica.apply(makeChanges(6, [change]), undefined);
			assert.is(replica.getChangesAfter({era: 0, revision: 5}).isWhole, false);
		});

		it('returns all items if the change log does not reach back', () => {
			const replica = makeReplica();
			replica.apply(makeChanges(5, [makeUpdate('a', 4)], true), undefined);
			assert.is(replica.getChangesAfter({era: 0, revision: 3}).isWhole, true);
			assert.is(replica.getChangesAfter(undefined).changes.length, 1);
		});
	});
});
