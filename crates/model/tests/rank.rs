//! Ranks of workspaces and routes together.

use model::forward::Rank;

#[test]
fn a_workspaces_rank_goes_first_and_its_routes_keep_their_order() {
    let order = [
        Rank::new(Some(0), 2),
        Rank::new(Some(1), 0),
        Rank::new(Some(1), 1),
        Rank::new(Some(1), 2),
        Rank::new(Some(2), 0),
    ];
    assert!(order.is_sorted());
    assert!(order.is_sorted_by_key(|r| r.level()));
    assert_eq!(Rank::new(None, 2), Rank::new(Some(2), 2), "without a rank the route's counts");
    let high = Rank::new(Some(200), 200);
    assert_eq!(high.level(), 9, "levels end");
}
