/**
 * Positions in the store's change order. When the store is restored from an older copy, it begins a new era and gives
 * out the numbers of lost changes again. A position is one number that orders by era first, so that any position of a
 * later era is greater than all those before. -1 stands for no position.
 */

/** Numbers of changes in one era. The store counts transactions; at 1,200 a second it takes 1.8 years to reach it. */
const VERSIONS_PER_ERA = 2 ** 36;
/** Largest era whose positions are exact numbers. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / VERSIONS_PER_ERA) - 1;

/** Combines the number of a change with the era in which the store gave it out. */
export const toPosition = (era: number, version: number): number => era * VERSIONS_PER_ERA + version;

/** Returns the era of a position. */
export const getEra = (position: number): number => Math.max(0, Math.floor(position / VERSIONS_PER_ERA));

/** Returns the number of the change, as the store gave it out. */
export const getVersion = (position: number): number => position < 0 ? position : position % VERSIONS_PER_ERA;

/** Formats a position for the log: era and number of the change. */
export const formatPosition = (position: number): string => `${getEra(position)}/${getVersion(position)}`;
